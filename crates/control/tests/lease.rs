//! The platform lease under pauses, lost answers and races between daemons.

use std::time::Duration;

use jaystand_control::lease::{Fault, Input, Machine, Record, Settings, Step};
use jaystand_types::{Moment, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn machine(holder: &str) -> Machine {
    let mut machine = Machine::new(holder.into(), 7, Settings::default());
    machine.set_wanted(true);
    machine
}

/// The platform object that holds the lease.
#[derive(Default)]
struct Object {
    version: Version,
    value: Option<Record>,
    /// Makes the next write take effect without an answer.
    lose_answer: bool,
}

impl Object {
    /// Carries out a step and returns its result; `None` for a wait.
    fn answer(&mut self, step: &Step) -> Option<Input> {
        match step {
            Step::Wait(_) => None,
            Step::Read => Some(Input::Read(Ok(self
                .value
                .clone()
                .map(|record| (self.version, record))))),
            Step::Write { expected, record } => {
                let current = self.value.as_ref().map(|_| self.version);
                if current != *expected {
                    return Some(Input::Wrote(Err(Fault::Conflict)));
                }
                self.version += 1;
                self.value = Some(record.clone());
                let lost = std::mem::take(&mut self.lose_answer);
                Some(Input::Wrote(if lost {
                    Err(Fault::Lost)
                } else {
                    Ok(self.version)
                }))
            }
        }
    }

    /// Runs a machine until it waits, and returns the duration of the wait.
    fn run(&mut self, machine: &mut Machine, now: Moment) -> Duration {
        let mut rng = Pcg64Mcg::seed_from_u64(now.as_secs());
        let mut step = machine.handle(now, Input::Elapsed, &mut rng);
        while let Some(input) = self.answer(&step) {
            step = machine.handle(now, input, &mut rng);
        }
        match step {
            Step::Wait(time) => time,
            Step::Read | Step::Write { .. } => unreachable!("answered above"),
        }
    }
}

/// Guards against a daemon that still uses its lease after a pause longer than the lease, and against one that renews
/// it although another daemon has held it since.
#[test]
fn a_lapsed_lease_is_not_used_and_returns_only_when_nobody_took_it() {
    for taken in [false, true] {
        let (mut object, mut holder, mut other) = (Object::default(), machine("a"), machine("b"));
        object.run(&mut holder, s(0));
        object.run(&mut other, s(1));
        let first = holder.grant(s(7)).expect("it holds for 7.5 s");
        assert!(holder.grant(s(8)).is_none(), "the margin has begun");
        if taken {
            object.run(&mut other, s(13));
            assert!(
                other.grant(s(13)).is_none(),
                "12.5 s have not passed since it saw the lease"
            );
            object.run(&mut other, s(14));
            assert_eq!(
                other.grant(s(14)).map(|grant| grant.fence),
                Some(first.fence + 1)
            );
        }
        object.run(&mut holder, s(3_600));
        let again = holder.grant(s(3_600)).map(|grant| grant.fence);
        assert_eq!(again, (!taken).then_some(first.fence), "taken: {taken}");
    }
}

/// Guards against a daemon that does not notice that it holds the lease because the answer to its write was lost, and
/// against counting the lease from the read instead of the write.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let (mut object, mut holder) = (Object::default(), machine("a"));
    object.lose_answer = true;
    object.run(&mut holder, s(0));
    assert_eq!(
        holder.grant(s(0)).map(|grant| grant.until),
        Some(Duration::from_millis(7_500))
    );
    object.lose_answer = true;
    object.run(&mut holder, s(3));
    assert_eq!(
        holder.grant(s(3)).map(|grant| grant.until),
        Some(Duration::from_millis(10_500))
    );
}

/// Guards against two holders when two daemons see a free lease at the same time.
#[test]
fn one_of_two_racing_daemons_gets_the_lease() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (mut object, mut a, mut b) = (Object::default(), machine("a"), machine("b"));
    let steps = [
        (&mut a, Input::Read(Ok(None))),
        (&mut b, Input::Read(Ok(None))),
    ]
    .map(|(machine, input)| machine.handle(s(0), input, &mut rng));
    for (machine, step) in [&mut a, &mut b].into_iter().zip(steps) {
        let mut step = step;
        while let Some(input) = object.answer(&step) {
            step = machine.handle(s(0), input, &mut rng);
        }
    }
    assert!(a.grant(s(0)).is_some());
    assert!(b.grant(s(0)).is_none());
}

/// Guards against a lease that no daemon can take until it expires because its holder stopped without releasing it.
#[test]
fn a_released_lease_is_free_at_once() {
    let (mut object, mut a, mut b) = (Object::default(), machine("a"), machine("b"));
    object.run(&mut a, s(0));
    a.set_wanted(false);
    object.run(&mut a, s(1));
    assert!(a.grant(s(1)).is_none());
    object.run(&mut b, s(1));
    assert_eq!(b.grant(s(1)).map(|grant| grant.fence), Some(2));
}

/// Guards against grants for two daemons at the same time under random pauses, outages, lost answers and writes that
/// take effect late.
#[test]
fn never_two_grants_at_once() {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut object = Object::default();
        let mut machines = [machine("a"), machine("b"), machine("c")];
        let mut wake = [s(0); 3];
        let mut late: Vec<(Moment, Step)> = Vec::new();
        let mut fences = Vec::new();
        for tick in 0..2_000 {
            let now = Duration::from_millis(100 * tick);
            late.retain(|(at, step)| {
                let due = *at <= now;
                if due {
                    object.answer(step);
                }
                !due
            });
            for (index, machine) in machines.iter_mut().enumerate() {
                if wake[index] > now {
                    continue;
                }
                let mut step = machine.handle(now, Input::Elapsed, &mut rng);
                wake[index] = loop {
                    if let Step::Wait(time) = step {
                        let pause = if rng.random_bool(0.02) {
                            s(rng.random_range(1..40))
                        } else {
                            s(0)
                        };
                        break now + time + pause;
                    }
                    let write = matches!(step, Step::Write { .. });
                    let input = match rng.random_range(0..20) {
                        0 if write => {
                            late.push((now + s(rng.random_range(0..8)), step));
                            Input::Wrote(Err(Fault::Lost))
                        }
                        1 if write => Input::Wrote(Err(Fault::Unavailable)),
                        2 if !write => Input::Read(Err(Fault::Unavailable)),
                        _ => object.answer(&step).expect("not a wait"),
                    };
                    step = machine.handle(now, input, &mut rng);
                };
            }
            let grants: Vec<u64> = machines
                .iter()
                .filter_map(|machine| machine.grant(now))
                .map(|grant| grant.fence)
                .collect();
            assert!(grants.len() <= 1, "seed {seed}, {now:?}: {grants:?}");
            fences.extend(grants);
        }
        assert!(fences.is_sorted(), "seed {seed}: a fencing number returned");
        assert!(
            !fences.is_empty(),
            "seed {seed}: nobody ever held the lease"
        );
    }
}
