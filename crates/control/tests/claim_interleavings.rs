//! Explores every interleaving, within bounds, of two daemons that claim keys of one shard.

mod explore;

use std::time::Duration;

use bytes::Bytes;
use explore::{Violation, World, explore};
use jaystand_control::claim::{
    Action, BodyHash, Fault, Group, Key, Lookup, Outcome, RETENTION, Reason, Reply, Seconds, Shard,
    State, Ticket, Verdict,
};
use jaystand_types::Version;

/// How a daemon treats a lost answer to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Variant {
    /// Reads the shard again, as the real implementation does.
    ReadBack,
    /// Treats it as a success, which is a deliberate fault.
    LostIsSuccess,
    /// Treats it as a failure and gives up the attempt, which is a deliberate fault. The caller's retry makes a new
    /// claim.
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
    /// Keys of the attempts that callers have not made yet.
    planned: Vec<u8>,
    faults_left: u8,
    crashes_left: u8,
    days_left: u8,
    wall: Seconds,
    crashed: bool,
    violated_property: Option<&'static str>,
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
    /// The daemon may send the request, and may pause before it does.
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

/// Returns a key by its number. The model has only one shard, so the shard of the key does not matter.
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
            violated_property: None,
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

    /// Runs the group of a daemon until it needs I/O, sleeps or is idle.
    fn run_group(&mut self, daemon: usize, now: Duration) {
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
        self.apply_verdicts(daemon, verdicts);
    }

    /// Checks verdicts and applies them to the attempts.
    fn apply_verdicts(&mut self, daemon: usize, verdicts: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in verdicts {
            let matches = |attempt: &Attempt| attempt.daemon == daemon && attempt.ticket == ticket;
            let index = self.attempts.iter().rposition(matches).unwrap();
            let replies: Vec<Reply> = (0..self.attempts.len())
                .filter(|other| {
                    self.attempts[*other].sent
                        && self.attempts[*other].key == self.attempts[index].key
                })
                .map(reply)
                .collect();
            let attempt = &mut self.attempts[index];
            if attempt.stage != Stage::Claiming {
                self.violated_property = Some("a second verdict for one attempt");
            }
            attempt.stage = match verdict {
                Verdict::Dispatch => Stage::Claimed,
                Verdict::NotRun(_) => Stage::NotRun,
                Verdict::Answer(answer) => {
                    if !replies.contains(&answer) {
                        self.violated_property = Some("an answer that no execution gave");
                    }
                    Stage::Ended
                }
                Verdict::Unknown(_) => Stage::Ended,
                Verdict::KeyReused => {
                    self.violated_property = Some("a repeat was taken for the reuse of a key");
                    Stage::Ended
                }
            };
        }
    }

    fn complete_read(&mut self, daemon: usize, result: Result<Option<(Version, Shard)>, Fault>) {
        let mut verdicts = Vec::new();
        let state = &mut self.daemons[daemon];
        state.under_way = None;
        state
            .group
            .handle_read(Duration::ZERO, self.wall, result, &mut verdicts);
        self.apply_verdicts(daemon, verdicts);
    }

    fn complete_write(&mut self, daemon: usize, result: Result<Version, Fault>) {
        let mut verdicts = Vec::new();
        let state = &mut self.daemons[daemon];
        let Some(Io::Write(expected, _)) = state.under_way.take() else {
            unreachable!("only a write under way ends")
        };
        let lost = result == Err(Fault::Lost);
        let reported = match self.variant {
            Variant::LostIsSuccess if lost => Ok(expected.unwrap_or(0) + 1),
            Variant::LostIsFailure if lost => Err(Fault::Unavailable),
            _ => result,
        };
        state
            .group
            .handle_write(Duration::ZERO, self.wall, reported, &mut verdicts);
        self.apply_verdicts(daemon, verdicts);
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
            self.apply_verdicts(daemon, vec![(ticket, verdict)]);
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

    /// Returns the write that is under way at a daemon.
    fn write_under_way(&mut self, daemon: usize) -> (Option<Version>, Shard) {
        match &self.daemons[daemon].under_way {
            Some(Io::Write(expected, shard)) => (*expected, shard.clone()),
            _ => unreachable!("only writes are lost"),
        }
    }

    /// Returns whether nothing more happens without a new call or fault.
    fn is_quiet(&self) -> bool {
        let is_busy = |stage| matches!(stage, Stage::Claimed | Stage::Running);
        let is_quiet = |daemon: &Daemon| daemon.under_way.is_none() && daemon.group.is_settled();
        self.daemons.iter().all(is_quiet)
            && !self.attempts.iter().any(|attempt| is_busy(attempt.stage))
    }

    /// Returns whether a shard holds a claim of an attempt with the verdict `not_run`, so that repeats stay `unknown`.
    fn holds_stuck_claim(&self, shard: &Shard) -> bool {
        self.attempts.iter().enumerate().any(|(index, attempt)| {
            let nonce = index as u64 + 1;
            let is_claimed = matches!(shard.find(key(attempt.key), self.wall),
                Lookup::Record(record) if record.nonce == nonce && record.state == State::Claimed);
            is_claimed && attempt.stage == Stage::NotRun
        })
    }
}

impl World for Model {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let faults = self.faults_left > 0;
        for (daemon, state) in self.daemons.iter().enumerate() {
            // The daemons are identical, so the first call always goes to the first one.
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
        let able_to_land = self
            .late
            .iter()
            .enumerate()
            .filter(|(_, write)| write.0 == current);
        events.extend(able_to_land.map(|(index, _)| Event::LateWrite(index)));
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
                Some(Io::Read) => next.complete_read(daemon, Ok(next.stored.clone())),
                Some(Io::Write(expected, shard)) => {
                    let result = next.store(expected, shard);
                    next.complete_write(daemon, result);
                }
                None => unreachable!("nothing is under way"),
            },
            Event::Refused { daemon } => match next.daemons[daemon].under_way {
                Some(Io::Read) => next.complete_read(daemon, Err(Fault::Unavailable)),
                _ => next.complete_write(daemon, Err(Fault::Unavailable)),
            },
            Event::LostBefore { daemon } => next.complete_write(daemon, Err(Fault::Lost)),
            Event::LostAfter { daemon } => {
                let (expected, shard) = next.write_under_way(daemon);
                let _ = next.store(expected, shard);
                next.complete_write(daemon, Err(Fault::Lost));
            }
            Event::LostAndLate { daemon } => {
                let write = next.write_under_way(daemon);
                next.late.push(write);
                next.complete_write(daemon, Err(Fault::Lost));
            }
            Event::LateWrite(index) => {
                let (expected, shard) = next.late.remove(index);
                let _ = next.store(expected, shard);
            }
            Event::Wake { daemon } => next.run_group(daemon, Duration::MAX),
            Event::Send(index) => {
                next.attempts[index].sent = true;
                next.attempts[index].stage = Stage::Running;
            }
            Event::NotSent(index) => next.finish(index, Outcome::NotSent),
            Event::Finish(index) => next.finish(index, Outcome::Replied(reply(index))),
            Event::Deadline(index) => next.abandon(index),
            Event::Crash { daemon } => next.crash(daemon),
            Event::CrashAndLate { daemon } => {
                let write = next.write_under_way(daemon);
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
            next.run_group(daemon, Duration::ZERO);
        }
        // Late writes that expect an older version never take effect. Without them, equivalent states are equal.
        let current = next.stored.as_ref().map(|(version, _)| *version);
        next.late.retain(|write| write.0 >= current);
        next
    }

    fn violation(&self) -> Option<String> {
        if let Some(property) = self.violated_property {
            return Some(property.to_owned());
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

/// Guards against a double execution, a false `not_run` or a key that stays claimed when answers are lost, writes
/// arrive late, daemons crash or pause, and callers retry on either daemon.
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

/// Guards against a model that misses a double execution, which follows when a daemon treats a lost answer as a
/// success.
#[test]
fn taking_a_lost_answer_for_a_success_is_caught() {
    let violation = check(Variant::LostIsSuccess, &[0, 0], 1, 0, 0).unwrap_err();
    assert_eq!(violation.property, "a request ran twice");
}

/// Guards against a model that misses a claim that is never released, which follows when a daemon treats a lost
/// answer as a failure.
#[test]
fn taking_a_lost_answer_for_a_failure_is_caught() {
    let violation = check(Variant::LostIsFailure, &[0, 0], 1, 0, 0).unwrap_err();
    assert_eq!(violation.property, "a released key stays claimed");
}
