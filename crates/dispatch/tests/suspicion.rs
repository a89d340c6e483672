//! Prompt parts that crash servers, and parts of requests that were on servers that end for other reasons.

mod support;

use jaystand_dispatch::{
    prompt::PartId,
    suspicion::{Subject, Suspicions, Verdict},
};
use jaystand_types::Moment;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use support::ms;

const DEADLY: PartId = 1;
const SHARED: PartId = 2;
/// Most statements in a report.
const REPORTED: usize = 16;

fn parts(parts: &[PartId]) -> impl Iterator<Item = Subject> {
    parts.iter().copied().map(Subject::Part)
}

/// Returns whether a request with one part may be sent, and records its trial if it is one.
fn send(suspicions: &mut Suspicions, now: Moment, part: PartId) -> bool {
    match suspicions.verdict(now, parts(&[part]), |_| Moment::ZERO) {
        Verdict::Sound => true,
        Verdict::Trial(part) => {
            suspicions.record_trial(now, part);
            true
        }
        Verdict::Suspected(..) => false,
    }
}

fn crash(suspicions: &mut Suspicions, at: u64, server: u64, parts: &[PartId]) {
    suspicions.record_crash(ms(at), server, self::parts(parts));
}

/// Guards against crashes that go on because each of many hosts sees few of them, and against trials by all hosts at once.
#[test]
fn hosts_stop_requests_with_a_deadly_part_together() {
    for hosts in [6, 63, 295] {
        let mut random = Pcg64Mcg::seed_from_u64(32);
        let mut fleet = vec![Suspicions::default(); hosts];
        let mut crashes: Vec<u64> = Vec::new();
        let mut refused_shared = 0;
        // In large fleets it takes some reports until all hosts have heard of a crash.
        let reports = u64::try_from(hosts.div_ceil(64)).expect("small");
        for now in (0..25_000).step_by(50) {
            if now % (200 * reports) == 0 {
                let told: Vec<_> = fleet
                    .iter()
                    .flat_map(|host| host.statements(ms(now), REPORTED))
                    .collect();
                for host in &mut fleet {
                    for statement in &told {
                        host.learn(ms(now), statement);
                    }
                }
            }
            // One request a second has the deadly part; others share another part with it and are answered.
            let host = &mut fleet[random.random_range(0..hosts)];
            if random.random_bool(0.05) && send(host, ms(now), DEADLY) {
                crashes.push(now);
                let server = u64::try_from(crashes.len()).expect("small");
                crash(host, now, server, &[DEADLY, SHARED]);
            }
            let host = &mut fleet[random.random_range(0..hosts)];
            if send(host, ms(now), SHARED) {
                host.record_answer(ms(now), parts(&[SHARED]));
            } else {
                refused_shared += 1;
            }
        }
        assert!(crashes.len() <= 5, "{hosts} hosts: crashes at {crashes:?}");
        assert_eq!(refused_shared, 0, "{hosts} hosts");
    }
}

/// Guards against more trials of a part than the users allow once five servers have ended under it, and against a part
/// that is never tried again.
#[test]
fn trials_become_rare_and_a_mended_part_is_cleared() {
    let mut suspicions = Suspicions::default();
    for server in 0..5 {
        crash(&mut suspicions, server * 1_000, server, &[DEADLY]);
    }
    let mut trials = Vec::new();
    for now in (5_000..900_000).step_by(100) {
        if send(&mut suspicions, ms(now), DEADLY) {
            trials.push(now);
            crash(&mut suspicions, now + 50, now, &[DEADLY]);
        }
    }
    assert!((1..=3).contains(&trials.len()), "{trials:?}");
    suspicions.record_answer(ms(1_000_000), parts(&[DEADLY]));
    assert!((0..10).all(|at| send(&mut suspicions, ms(1_000_001 + at), DEADLY)));
}

/// Guards against parts that are refused because many servers ended at once, because connections to live servers broke,
/// or because one server ended under many requests.
#[test]
fn servers_that_end_for_other_reasons_put_no_part_under_suspicion() {
    let mut suspicions = Suspicions::default();
    // A rack loses power: six servers end within 300 ms.
    for server in 0..6 {
        crash(&mut suspicions, 1_000 + server * 50, server, &[SHARED]);
    }
    // Connections to live servers are reset, which answer later requests.
    for server in 10..16 {
        crash(&mut suspicions, 5_000 + server * 1_000, server, &[3]);
        suspicions.record_alive(server, ms(5_010 + server * 1_000));
    }
    for number in 0..20 {
        crash(&mut suspicions, 30_000 + number * 1_000, 99, &[4]);
    }
    for part in [SHARED, 3, 4] {
        assert_eq!(
            suspicions.verdict(ms(60_000), parts(&[part]), |_| Moment::ZERO),
            Verdict::Sound,
            "part {part}"
        );
    }
}

/// Guards against a report of another host that restores evidence which an answer has refuted.
#[test]
fn late_reports_do_not_restore_refuted_evidence() {
    let (mut one, mut other) = (Suspicions::default(), Suspicions::default());
    for server in 0..3 {
        crash(&mut one, server * 1_000, server, &[SHARED, 3]);
    }
    let late = one.statements(ms(3_000), REPORTED);
    for statement in &late {
        other.learn(ms(3_000), statement);
    }
    one.record_answer(ms(3_500), parts(&[SHARED]));
    for statement in one.statements(ms(3_600), REPORTED) {
        other.learn(ms(3_600), &statement);
    }
    let mut old = late;
    for statement in &mut old {
        for (_, age) in &mut statement.crashes {
            *age += ms(700);
        }
    }
    for statement in &old {
        other.learn(ms(3_700), statement);
    }
    let verdict = |part| other.verdict(ms(3_800), parts(&[part]), |_| Moment::ZERO);
    assert_eq!(verdict(SHARED), Verdict::Sound);
    assert!(matches!(
        verdict(3),
        Verdict::Suspected(Subject::Part(3), _)
    ));
}

/// Guards against requests with ever new parts that displace the evidence against a deadly one.
#[test]
fn new_parts_do_not_displace_evidence() {
    let mut suspicions = Suspicions::default();
    for server in 0..3 {
        crash(&mut suspicions, server * 1_000, server, &[DEADLY]);
    }
    for part in 10..5_000 {
        crash(&mut suspicions, 4_000, 50, &[part]);
    }
    assert_eq!(suspicions.crashes(Subject::Part(DEADLY)), 3);
    let reported = suspicions.statements(ms(5_000), REPORTED);
    assert_eq!(reported.len(), REPORTED);
    assert_eq!(reported[0].subject, Subject::Part(DEADLY));
}

/// Guards against a part that is no longer suspected because many crashes in a short time displace the earlier ones.
#[test]
fn a_burst_of_crashes_does_not_end_the_suspicion() {
    let mut suspicions = Suspicions::default();
    for server in 0..60 {
        crash(&mut suspicions, 1_000 + server * 20, server, &[DEADLY]);
    }
    assert!(!send(&mut suspicions, ms(2_300), DEADLY));
}

/// Guards against sound parts that are refused since they come with a deadly one and are seldom answered.
#[test]
fn a_part_that_was_answered_before_is_suspected_later() {
    let mut suspicions = Suspicions::default();
    suspicions.record_answer(ms(0), parts(&[SHARED]));
    for server in 0..3 {
        crash(
            &mut suspicions,
            1_000 + server * 1_000,
            server,
            &[DEADLY, SHARED],
        );
    }
    assert!(!send(&mut suspicions, ms(4_000), DEADLY));
    assert!(send(&mut suspicions, ms(4_000), SHARED));
    for server in 3..5 {
        crash(&mut suspicions, 1_000 + server * 1_000, server, &[SHARED]);
    }
    assert!(!send(&mut suspicions, ms(6_000), SHARED));
}

const REQUEST: Subject = Subject::Request(7);
/// Time from a send to the crash of its server.
const CRASH_MS: u64 = 50;
/// Pause between the repeats of a request.
const REPEAT_MS: u64 = 100;
/// Time in which crashes count as one event.
const EVENT_MS: u64 = 500;
/// Hosts in touch know of the third crash after this time, and may send three times later.
const STABLE_MS: u64 = 3_000;

/// Guards against a request that comes again at any host, faster than reports arrive, and ends server after server: all
/// sends of all hosts, and those after the third crash, are counted.
///
/// The second event comes at the first repeat whose crash is `EVENT_MS` after the first one. Until all hosts know it, and
/// for the sends that are under way then, there are at most (`EVENT_MS` + `REPEAT_MS` + `CRASH_MS` + report time) /
/// `REPEAT_MS` + 1 sends, whatever the number of hosts.
#[test]
fn hosts_stop_a_request_that_crashes_servers_together() {
    for hosts in [6_u64, 63, 295] {
        let mut random = Pcg64Mcg::seed_from_u64(35);
        let mut fleet = vec![Suspicions::default(); usize::try_from(hosts).expect("few")];
        let mut sends: Vec<u64> = Vec::new();
        let mut under_way: Vec<(u64, usize)> = Vec::new();
        let report_ms = 200 * hosts.div_ceil(64);
        for now in (0..120_000).step_by(50) {
            if now % report_ms == 0 {
                // What all hosts tell is merged first, which keeps the work linear in their number.
                let mut merged = Suspicions::default();
                for host in &fleet {
                    for statement in host.statements(ms(now), REPORTED) {
                        merged.learn(ms(now), &statement);
                    }
                }
                let told = merged.statements(ms(now), REPORTED);
                for host in &mut fleet {
                    for statement in &told {
                        host.learn(ms(now), statement);
                    }
                }
            }
            under_way.retain(|(ends, host)| {
                if *ends <= now {
                    // Each incarnation that ends is another one, and so is each request's own part.
                    let subjects = [REQUEST, Subject::Part(SHARED)];
                    fleet[*host].record_crash(ms(now), now, subjects.into_iter());
                }
                *ends > now
            });
            let index = random.random_range(0..fleet.len());
            let host = &mut fleet[index];
            if now % REPEAT_MS == 0 {
                let local = index as u64;
                let others = (0..hosts).filter(move |other| *other != local);
                let delay = |subject: Subject| subject.trial_delay(local, others.clone());
                let verdict = host.verdict(ms(now), [REQUEST].into_iter(), delay);
                if let Verdict::Trial(subject) = verdict {
                    host.record_trial(ms(now), subject);
                }
                if !matches!(verdict, Verdict::Suspected(..)) {
                    sends.push(now);
                    under_way.push((now + CRASH_MS, index));
                }
            }
        }
        let first = (EVENT_MS + REPEAT_MS + CRASH_MS + report_ms) / REPEAT_MS + 1;
        let known_at = sends[0] + EVENT_MS + REPEAT_MS + CRASH_MS + report_ms;
        let burst = sends.iter().filter(|at| **at <= known_at).count() as u64;
        assert!(
            burst <= first,
            "{hosts} hosts: {burst} sends, {first} allowed"
        );
        let later = sends
            .iter()
            .filter(|at| **at > sends[2] + CRASH_MS + STABLE_MS);
        let later = later.count();
        assert!(later <= 3, "{hosts} hosts: {later} later sends, {sends:?}");
        // Its part is used by others, which are not refused.
        let part = parts(&[SHARED]);
        let verdict = fleet[0].verdict(ms(120_000), part, |_| Moment::ZERO);
        assert_eq!(verdict, Verdict::Sound, "{hosts} hosts");
    }
}

/// Guards against a part that crashes servers and is taken for innocent because each request with it crashes two servers
/// and is suspected itself.
#[test]
fn a_part_is_suspected_when_several_suspected_requests_have_it() {
    let mut suspicions = Suspicions::default();
    let mut server = 0;
    for request in 0..2 {
        for repeat in 0..2 {
            let at = ms(request * 5_000 + repeat * 1_000);
            let subjects = [Subject::Request(request), Subject::Part(DEADLY)];
            suspicions.record_crash(at, server, subjects.into_iter());
            server += 1;
        }
        let suspected: Vec<_> = suspicions.suspected().collect();
        assert_eq!(suspected.contains(&Subject::Part(DEADLY)), request == 1);
    }
}

/// Guards against a request that is refused although it is answered all the time, since the servers that ended had many.
#[test]
fn a_request_that_is_answered_in_between_is_sound() {
    let mut suspicions = Suspicions::default();
    for server in 0..6 {
        let at = server * 1_000;
        suspicions.record_crash(ms(at), server, [REQUEST].into_iter());
        assert_eq!(
            suspicions.verdict(ms(at), [REQUEST].into_iter(), |_| Moment::ZERO),
            Verdict::Sound
        );
        suspicions.record_answer(ms(at + 400), [REQUEST].into_iter());
    }
}

/// Guards against evidence that is pushed out by a caller who makes ever new requests that crash servers once.
#[test]
fn ever_new_requests_push_out_no_evidence() {
    let mut suspicions = Suspicions::default();
    suspicions.record_crash(ms(0), 1, [REQUEST].into_iter());
    suspicions.record_crash(ms(1_000), 2, [REQUEST].into_iter());
    for number in 100..5_000 {
        let subject = Subject::Request(number);
        suspicions.record_crash(ms(1_000 + number), number, [subject].into_iter());
    }
    assert_eq!(suspicions.crashes(REQUEST), 2);
    assert!(suspicions.suspected().any(|subject| subject == REQUEST));
}

/// Guards against reports that repeat the clearance of a part as new after each of its answers: they were most of the
/// bytes between hosts after a third of the servers had crashed.
#[test]
fn a_clearance_is_not_renewed_by_each_answer() {
    let mut suspicions = Suspicions::default();
    crash(&mut suspicions, 0, 1, &[SHARED]);
    let mut renewals = 0;
    for at in (1_000..=20_000).step_by(10) {
        suspicions.record_answer(ms(at), parts(&[SHARED]));
        let statements = suspicions.statements(ms(at), REPORTED);
        renewals += usize::from(statements[0].cleared == Some(Moment::ZERO));
    }
    assert_eq!(renewals, 4, "one clearance, renewed every 5 s");
}

/// A stream that a server sends.
struct Stream {
    request: u64,
    host: usize,
    server: usize,
    ends: u64,
    attempts: u32,
}

/// What came of the requests of [`play_cuts`].
#[derive(Debug, Default)]
struct Outcome {
    /// Times at which the deadly request reached a server.
    deadly: Vec<u64>,
    /// Streams of other requests that were cut, and those of them that were not resumed because they were suspected.
    cut: usize,
    refused: usize,
    /// Those that had been on fewer than three servers that ended.
    refused_early: usize,
}

/// Plays 30 s of a fleet of 12 hosts and 30 servers with 10 streams each on average. The deadly request comes every 2.2 s if
/// `deadly` is set, and ends its server after the first event; otherwise a server ends every 300 ms, a hundred in all.
/// Streams that are cut are resumed at another server twice.
fn play_cuts(deadly: bool) -> Outcome {
    const HOSTS: usize = 12;
    const SERVERS: usize = 30;
    const STREAMS: usize = 300;
    const DEADLY_REQUEST: u64 = 1_000_000;
    const STREAM_MS: u64 = 6_000;
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let mut fleet = vec![Suspicions::default(); HOSTS];
    let mut incarnations: Vec<u64> = (0..30).collect();
    let mut streams: Vec<Stream> = Vec::new();
    let mut outcome = Outcome::default();
    let (mut next_request, mut next_incarnation) = (0, 1_000);
    for now in (0..30_000).step_by(50) {
        if now % 200 == 0 {
            let told: Vec<_> = fleet
                .iter()
                .flat_map(|host| host.statements(ms(now), REPORTED))
                .collect();
            for host in &mut fleet {
                for statement in &told {
                    host.learn(ms(now), statement);
                }
            }
        }
        streams.retain(|stream| {
            if stream.ends <= now {
                let answered = [Subject::Request(stream.request)];
                fleet[stream.host].record_answer(ms(now), answered.into_iter());
            }
            stream.ends > now
        });
        while streams.len() < STREAMS {
            next_request += 1;
            streams.push(Stream {
                request: next_request,
                host: random.random_range(0..HOSTS),
                server: random.random_range(0..SERVERS),
                ends: now + random.random_range(500..STREAM_MS),
                attempts: 1,
            });
        }
        let crashed = if deadly && now % 2_200 == 1_000 {
            let host = random.random_range(0..HOSTS);
            let subject = Subject::Request(DEADLY_REQUEST);
            let verdict = fleet[host].verdict(ms(now), [subject].into_iter(), |_| Moment::ZERO);
            if matches!(verdict, Verdict::Suspected(..)) {
                continue;
            }
            let server = random.random_range(0..SERVERS);
            outcome.deadly.push(now);
            fleet[host].record_cut(ms(now), incarnations[server], DEADLY_REQUEST, 11);
            server
        } else if !deadly && now % 300 == 0 {
            random.random_range(0..SERVERS)
        } else {
            continue;
        };
        let held = streams
            .iter()
            .filter(|stream| stream.server == crashed)
            .count();
        let held = u32::try_from(held).expect("few");
        streams.retain_mut(|stream| {
            if stream.server != crashed {
                return true;
            }
            outcome.cut += 1;
            let host = &mut fleet[stream.host];
            host.record_cut(ms(now), incarnations[crashed], stream.request, held);
            let subject = [Subject::Request(stream.request)];
            let verdict = host.verdict(ms(now), subject.into_iter(), |_| Moment::ZERO);
            outcome.refused += usize::from(verdict != Verdict::Sound);
            outcome.refused_early += usize::from(verdict != Verdict::Sound && stream.attempts < 3);
            stream.attempts += 1;
            stream.server = random.random_range(0..SERVERS);
            stream.attempts <= 3 && verdict == Verdict::Sound
        });
        incarnations[crashed] = next_incarnation;
        next_incarnation += 1;
    }
    outcome
}

/// Guards against a request that ends server after server once they have sent events of its answer (case 4 of the review: ten servers),
/// and against its neighbours, which are refused with it.
#[test]
fn a_request_that_cuts_servers_stops_and_its_neighbours_are_resumed() {
    let outcome = play_cuts(true);
    assert_eq!(outcome.deadly.len(), 3, "{outcome:?}");
    assert!(outcome.cut > 0, "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

/// Guards against streams that are not resumed because servers end for other reasons: only one that was on three servers
/// that ended is refused. Here each server ends every 9 s, and 17 of 1,029 streams that are cut are refused.
#[test]
fn streams_of_servers_that_end_for_other_reasons_are_resumed() {
    let outcome = play_cuts(false);
    assert!(outcome.cut > 500, "{outcome:?}");
    assert_eq!(outcome.refused_early, 0, "{outcome:?}");
    assert!(outcome.refused * 50 <= outcome.cut, "{outcome:?}");
}

/// Guards against a stream that was alone at two servers and counts as little as one among many.
#[test]
fn a_cut_counts_fully_at_a_server_that_held_nothing_else() {
    for (held, suspected) in [(1, true), (2, false)] {
        let mut suspicions = Suspicions::default();
        suspicions.record_cut(ms(1_000), 1, 7, held);
        suspicions.record_cut(ms(2_000), 2, 7, held);
        assert_eq!(suspicions.suspected().any(|s| s == REQUEST), suspected);
        let mut other = Suspicions::default();
        for statement in suspicions.statements(ms(2_000), REPORTED) {
            other.learn(ms(2_000), &statement);
        }
        assert_eq!(other.suspected().any(|s| s == REQUEST), suspected);
        // Three servers are enough at whatever stage.
        suspicions.record_cut(ms(3_000), 3, 7, held);
        assert!(suspicions.suspected().any(|s| s == REQUEST));
    }
}

/// Guards against a neighbour that was on the servers of a request which explains their ends, and against cuts of live
/// servers that count.
#[test]
fn cuts_that_something_else_explains_do_not_count() {
    let neighbour = 8;
    let mut suspicions = Suspicions::default();
    for server in 0..4 {
        let at = ms(1_000 + server * 1_000);
        suspicions.record_cut(at, server, 7, 5);
        if server > 0 {
            suspicions.record_cut(at, server, neighbour, 5);
        }
    }
    let suspected: Vec<_> = suspicions.suspected().collect();
    assert_eq!(suspected, [REQUEST]);
    let mut suspicions = Suspicions::default();
    for server in 0..4 {
        suspicions.record_cut(ms(1_000 + server * 1_000), server, 7, 5);
        suspicions.record_alive(server, ms(1_100 + server * 1_000));
    }
    assert_eq!(suspicions.suspected().count(), 0);
}
