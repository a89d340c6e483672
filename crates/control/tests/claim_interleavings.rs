//! Every interleaving, within bounds, of two daemons that claim keys of one shard.

mod explore;

use std::time::Duration;

use bytes::Bytes;
use explore::{Violation, World, explore};
use jaystand_control::claim::{
    Action, BodyHash, Fault, Group, Key, Lookup, Outcome, RETENTION, Reason, Reply, Seconds, Shard,
    State, Ticket, Verdict,
};
use jaystand_types::Version;

/// How a daemon takes a lost answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Variant {
    ReadBack,
    /// Broken on purpose: takes it for a success.
    LostIsSuccess,
    /// Broken on purpose: takes it for a failure, gives up, and leaves a new claim to the caller's retry.
    LostIsFailure,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
    variant: Variant,
    stored: Option<(Version, Shard)>,
    /// Writes whose answer was lost and that may still arrive.
    late: Vec<(Option<Version>, Shard)>,
    daemons: [Daemon; 2],
    attempts: Vec<Attempt>,
    /// Keys of the attempts that callers have yet to make.
    planned: Vec<u8>,
    faults_left: u8,
    crashes_left: u8,
    days_left: u8,
    wall: Seconds,
    crashed: bool,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    group: Group,
    under_way: Option<Io>,
    asleep: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Io {
    Read,
    Write(Option<Version>, Shard),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    daemon: usize,
    ticket: Ticket,
    key: u8,
    sent: bool,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Claiming,
    /// Allowed to send, and perhaps paused before it does.
    Claimed,
    Running,
    NotRun,
    Ended,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Call { daemon: usize },
    Proceed { daemon: usize },
    Refused { daemon: usize },
    LostBefore { daemon: usize },
    LostAfter { daemon: usize },
    LostAndLate { daemon: usize },
    LateWrite(usize),
    Wake { daemon: usize },
    Send(usize),
    NotSent(usize),
    Finish(usize),
    Deadline(usize),
    Crash { daemon: usize },
    CrashAndLate { daemon: usize },
    DayPasses,
}

/// Keys that fall into one shard are of no concern here, since the model has only one shard.
fn key(number: u8) -> Key {
    Key::new("team", &number.to_string())
}

fn reply(number: usize) -> Reply {
    Reply {
        status: 200,
        content_type: "text/plain".into(),
        body: Bytes::from(number.to_string()),
    }
}

impl Model {
    fn new(variant: Variant, keys: &[u8], faults: u8, crashes: u8, days: u8) -> Self {
        Self {
            variant,
            stored: None,
            late: Vec::new(),
            daemons: Default::default(),
            attempts: Vec::new(),
            planned: keys.to_vec(),
            faults_left: faults,
            crashes_left: crashes,
            days_left: days,
            wall: 0,
            crashed: false,
            wrong: None,
        }
    }

    fn store(&mut self, expected: Option<Version>, shard: Shard) -> Result<Version, Fault> {
        let current = self.stored.as_ref().map(|(version, _)| *version);
        if current != expected {
            return Err(Fault::Conflict);
        }
        let version = current.unwrap_or(0) + 1;
        self.stored = Some((version, shard));
        Ok(version)
    }

    /// Lets a daemon decide until it needs I/O, sleeps or is idle.
    fn settle(&mut self, daemon: usize, now: Duration) {
        let state = &mut self.daemons[daemon];
        if state.under_way.is_some() {
            return;
        }
        let mut verdicts = Vec::new();
        let action = state.group.next_action(now, self.wall, &mut verdicts);
        state.asleep = matches!(action, Action::Sleep(_));
        state.under_way = match action {
            Action::Read => Some(Io::Read),
            Action::Write { expected, shard } => Some(Io::Write(expected, shard)),
            Action::Sleep(_) | Action::Idle => None,
        };
        self.conclude(daemon, verdicts);
    }

    fn conclude(&mut self, daemon: usize, verdicts: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in verdicts {
            let of = |attempt: &Attempt| attempt.daemon == daemon && attempt.ticket == ticket;
            let index = self.attempts.iter().rposition(of).unwrap();
            let ran: Vec<Reply> = (0..self.attempts.len())
                .filter(|other| {
                    self.attempts[*other].sent
                        && self.attempts[*other].key == self.attempts[index].key
                })
                .map(reply)
                .collect();
            let attempt = &mut self.attempts[index];
            if attempt.stage != Stage::Claiming {
                self.wrong = Some("a second verdict for one attempt");
            }
            attempt.stage = match verdict {
                Verdict::Dispatch => Stage::Claimed,
                Verdict::NotRun(_) => Stage::NotRun,
                Verdict::Answer(answer) => {
                    if !ran.contains(&answer) {
                        self.wrong = Some("an answer that no execution gave");
                    }
                    Stage::Ended
                }
                Verdict::Unknown(_) => Stage::Ended,
                Verdict::KeyReused => {
                    self.wrong = Some("a repeat was taken for the reuse of a key");
                    Stage::Ended
                }
            };
        }
    }

    fn read_done(&mut self, daemon: usize, result: Result<Option<(Version, Shard)>, Fault>) {
        let mut verdicts = Vec::new();
        let state = &mut self.daemons[daemon];
        state.under_way = None;
        state
            .group
            .handle_read(Duration::ZERO, self.wall, result, &mut verdicts);
        self.conclude(daemon, verdicts);
    }

    fn write_done(&mut self, daemon: usize, result: Result<Version, Fault>) {
        let mut verdicts = Vec::new();
        let state = &mut self.daemons[daemon];
        let Some(Io::Write(expected, _)) = state.under_way.take() else {
            unreachable!("only a write under way ends")
        };
        let lost = result == Err(Fault::Lost);
        let taken_as = match self.variant {
            Variant::LostIsSuccess if lost => Ok(expected.unwrap_or(0) + 1),
            Variant::LostIsFailure if lost => Err(Fault::Unavailable),
            _ => result,
        };
        state
            .group
            .handle_write(Duration::ZERO, self.wall, taken_as, &mut verdicts);
        self.conclude(daemon, verdicts);
        if self.variant == Variant::LostIsFailure && lost {
            for index in 0..self.attempts.len() {
                let attempt = &self.attempts[index];
                if attempt.daemon == daemon && attempt.stage == Stage::Claiming {
                    self.abandon(index);
                }
            }
        }
    }

    fn abandon(&mut self, index: usize) {
        let Attempt { daemon, ticket, .. } = self.attempts[index];
        let group = &mut self.daemons[daemon].group;
        if let Some(verdict) = group.abandon(self.wall, ticket, Reason::Deadline) {
            self.conclude(daemon, vec![(ticket, verdict)]);
        }
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[index];
        let not_sent = outcome == Outcome::NotSent;
        attempt.stage = if not_sent {
            Stage::NotRun
        } else {
            Stage::Ended
        };
        let group = &mut self.daemons[attempt.daemon].group;
        group.finish(self.wall, attempt.ticket, outcome);
    }

    fn crash(&mut self, daemon: usize) {
        self.crashes_left -= 1;
        self.crashed = true;
        self.daemons[daemon] = Daemon::default();
        for attempt in &mut self.attempts {
            if attempt.daemon == daemon && attempt.stage != Stage::NotRun {
                attempt.stage = Stage::Ended;
            }
        }
    }

    fn take_write(&mut self, daemon: usize) -> (Option<Version>, Shard) {
        match &self.daemons[daemon].under_way {
            Some(Io::Write(expected, shard)) => (*expected, shard.clone()),
            _ => unreachable!("only writes are lost"),
        }
    }

    /// Whether nothing happens any more unless a caller or a fault acts.
    fn is_quiet(&self) -> bool {
        let busy = |stage| matches!(stage, Stage::Claimed | Stage::Running);
        let quiet = |daemon: &Daemon| daemon.under_way.is_none() && daemon.group.is_settled();
        self.daemons.iter().all(quiet) && !self.attempts.iter().any(|attempt| busy(attempt.stage))
    }

    /// Whether a shard holds a claim of an attempt that was told `not_run`, so that repeats stay `unknown`.
    fn holds_stuck_claim(&self, shard: &Shard) -> bool {
        self.attempts.iter().enumerate().any(|(index, attempt)| {
            let nonce = index as u64 + 1;
            let held = matches!(shard.find(key(attempt.key), self.wall),
                Lookup::Record(record) if record.nonce == nonce && record.state == State::Claimed);
            held && attempt.stage == Stage::NotRun
        })
    }
}

impl World for Model {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let faults = self.faults_left > 0;
        for (daemon, state) in self.daemons.iter().enumerate() {
            // The daemons are alike, so that the first call is made to the first one.
            if !self.planned.is_empty() && (daemon == 0 || !self.attempts.is_empty()) {
                events.push(Event::Call { daemon });
            }
            if state.asleep {
                events.push(Event::Wake { daemon });
            }
            if state.under_way.is_some() {
                events.push(Event::Proceed { daemon });
                if faults {
                    events.push(Event::Refused { daemon });
                }
            }
            let writes = matches!(state.under_way, Some(Io::Write(..)));
            if writes && faults {
                events.push(Event::LostBefore { daemon });
                events.push(Event::LostAfter { daemon });
                events.push(Event::LostAndLate { daemon });
            }
            if self.crashes_left > 0 && self.attempts.iter().any(|attempt| attempt.daemon == daemon)
            {
                events.push(Event::Crash { daemon });
                if writes {
                    events.push(Event::CrashAndLate { daemon });
                }
            }
        }
        for (index, attempt) in self.attempts.iter().enumerate() {
            match attempt.stage {
                Stage::Claiming if faults => events.push(Event::Deadline(index)),
                Stage::Claimed => {
                    events.push(Event::Send(index));
                    if faults {
                        events.push(Event::NotSent(index));
                    }
                }
                Stage::Running => events.push(Event::Finish(index)),
                _ => {}
            }
        }
        let current = self.stored.as_ref().map(|(version, _)| *version);
        let landing = self
            .late
            .iter()
            .enumerate()
            .filter(|(_, write)| write.0 == current);
        events.extend(landing.map(|(index, _)| Event::LateWrite(index)));
        if self.days_left > 0 && !self.attempts.is_empty() {
            events.push(Event::DayPasses);
        }
        events
    }

    fn after(&self, event: &Event) -> Self {
        let mut next = self.clone();
        match *event {
            Event::Call { daemon } => {
                let number = next.planned.remove(0);
                let nonce = next.attempts.len() as u64 + 1;
                let group = &mut next.daemons[daemon].group;
                let ticket = group.acquire(key(number), BodyHash::new(b"body"), nonce);
                next.attempts.push(Attempt {
                    daemon,
                    ticket,
                    key: number,
                    sent: false,
                    stage: Stage::Claiming,
                });
            }
            Event::Proceed { daemon } => match next.daemons[daemon].under_way.clone() {
                Some(Io::Read) => next.read_done(daemon, Ok(next.stored.clone())),
                Some(Io::Write(expected, shard)) => {
                    let result = next.store(expected, shard);
                    next.write_done(daemon, result);
                }
                None => unreachable!("nothing is under way"),
            },
            Event::Refused { daemon } => match next.daemons[daemon].under_way {
                Some(Io::Read) => next.read_done(daemon, Err(Fault::Unavailable)),
                _ => next.write_done(daemon, Err(Fault::Unavailable)),
            },
            Event::LostBefore { daemon } => next.write_done(daemon, Err(Fault::Lost)),
            Event::LostAfter { daemon } => {
                let (expected, shard) = next.take_write(daemon);
                let _ = next.store(expected, shard);
                next.write_done(daemon, Err(Fault::Lost));
            }
            Event::LostAndLate { daemon } => {
                let write = next.take_write(daemon);
                next.late.push(write);
                next.write_done(daemon, Err(Fault::Lost));
            }
            Event::LateWrite(index) => {
                let (expected, shard) = next.late.remove(index);
                let _ = next.store(expected, shard);
            }
            Event::Wake { daemon } => next.settle(daemon, Duration::MAX),
            Event::Send(index) => {
                next.attempts[index].sent = true;
                next.attempts[index].stage = Stage::Running;
            }
            Event::NotSent(index) => next.finish(index, Outcome::NotSent),
            Event::Finish(index) => next.finish(index, Outcome::Replied(reply(index))),
            Event::Deadline(index) => next.abandon(index),
            Event::Crash { daemon } => next.crash(daemon),
            Event::CrashAndLate { daemon } => {
                let write = next.take_write(daemon);
                next.late.push(write);
                next.crash(daemon);
            }
            Event::DayPasses => {
                next.days_left -= 1;
                next.wall += RETENTION;
            }
        }
        if let Event::Refused { .. }
        | Event::LostBefore { .. }
        | Event::LostAfter { .. }
        | Event::LostAndLate { .. }
        | Event::NotSent(_)
        | Event::Deadline(_) = event
        {
            next.faults_left -= 1;
        }
        for daemon in 0..next.daemons.len() {
            next.settle(daemon, Duration::ZERO);
        }
        // Writes on older versions never take effect; dropping them keeps equal states equal.
        let current = next.stored.as_ref().map(|(version, _)| *version);
        next.late.retain(|write| write.0 >= current);
        next
    }

    fn violation(&self) -> Option<String> {
        if let Some(wrong) = self.wrong {
            return Some(wrong.to_owned());
        }
        let sent = || self.attempts.iter().filter(|attempt| attempt.sent);
        let runs = |key| sent().filter(|attempt| attempt.key == key).count();
        if sent().any(|attempt| runs(attempt.key) > 1) {
            return Some("a request ran twice".to_owned());
        }
        if sent().any(|attempt| attempt.stage == Stage::NotRun) {
            return Some("an attempt that ran was told not_run".to_owned());
        }
        if self.is_quiet() && !self.crashed {
            let stored = self.stored.iter().map(|(_, shard)| shard);
            let mut shards = stored.chain(self.late.iter().map(|(_, shard)| shard));
            if shards.any(|shard| self.holds_stuck_claim(shard)) {
                return Some("a released key stays claimed".to_owned());
            }
        }
        None
    }
}

fn check(
    variant: Variant,
    keys: &[u8],
    faults: u8,
    crashes: u8,
    days: u8,
) -> Result<usize, Violation> {
    let started = std::time::Instant::now();
    let result = explore(&Model::new(variant, keys, faults, crashes, days));
    match &result {
        Ok(states) => print!("{states} states"),
        Err(found) => print!("{} after {}", found.property, found.trace.join(", ")),
    }
    println!(
        " in {:?}: {variant:?}, keys {keys:?}, faults {faults}, crashes {crashes}, days {days}",
        started.elapsed(),
    );
    result
}

/// Guards against a double execution, a false `not_run` or a stuck key when answers are lost, writes arrive late,
/// daemons crash or pause, and callers retry on either daemon.
#[test]
fn no_interleaving_runs_a_request_twice() {
    let bounds = [
        (&[0, 0][..], 3, 1, 1),
        (&[0, 0, 0], 2, 1, 0),
        (&[0, 0, 1], 1, 1, 0),
        (&[0, 0, 0], 1, 1, 1),
    ];
    for (keys, faults, crashes, days) in bounds {
        if let Err(violation) = check(Variant::ReadBack, keys, faults, crashes, days) {
            panic!("{}: {:#?}", violation.property, violation.trace);
        }
    }
}

/// Guards against a checker that misses what it is there for.
#[test]
fn taking_a_lost_answer_for_a_success_is_caught() {
    let violation = check(Variant::LostIsSuccess, &[0, 0], 1, 0, 0).unwrap_err();
    assert_eq!(violation.property, "a request ran twice");
}

/// Guards against a checker that misses a claim that nobody clears up.
#[test]
fn taking_a_lost_answer_for_a_failure_is_caught() {
    let violation = check(Variant::LostIsFailure, &[0, 0], 1, 0, 0).unwrap_err();
    assert_eq!(violation.property, "a released key stays claimed");
}
