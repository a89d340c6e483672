//! Explores every interleaving, within bounds, of two daemons whose operators replace the configuration.

mod explore;

use std::collections::BTreeMap;

use bytes::Bytes;
use explore::{World, explore};
use jaystand_control::config::{
    Acceptance, Answer, Encoded, Fault, Head, Input, MAX_VALUE_BYTES, Object, Offer, Precedence,
    Step, rollback,
};
use jaystand_sheet::Document;
use jaystand_types::Version;

type Write = (Object, Option<Version>, Bytes);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
    objects: BTreeMap<Bytes, (Version, Bytes)>,
    /// Writes whose answer was lost and that may still arrive.
    late: Vec<Write>,
    operators: [Operator; 2],
    /// Heads of the documents that came into force, in order.
    applied: Vec<Head>,
    /// Heads of the documents that were reported as without effect.
    rejected: Vec<Head>,
    observer: Precedence,
    faults_left: u8,
    crashes_left: u8,
    violated_property: Option<&'static str>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Operator {
    running: Option<Running>,
    /// Number of changes that the operator has not made yet.
    changes_left: u8,
    /// Version on which the next change is based.
    parent: Version,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Running {
    head: Head,
    acceptance: Acceptance,
    under_way: Io,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Io {
    Read(Object),
    Write(Write),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Begin(usize),
    Proceed(usize),
    Refused(usize),
    LostBefore(usize),
    LostAfter(usize),
    LostAndLate(usize),
    LateWrite(usize),
    Crash(usize),
    CrashAndLate(usize),
    /// A daemon learns of a document that is or was in force, possibly much later.
    Observe(usize),
}

fn object_id(object: &Object) -> Bytes {
    format!("{}/{}", object.kind(), object.name()).into()
}

impl Model {
    fn new(changes: [u8; 2], faults: u8, crashes: u8) -> Self {
        let operator = |changes_left| Operator {
            changes_left,
            ..Operator::default()
        };
        Self {
            objects: BTreeMap::new(),
            late: Vec::new(),
            operators: changes.map(operator),
            applied: Vec::new(),
            rejected: Vec::new(),
            observer: Precedence::default(),
            faults_left: faults,
            crashes_left: crashes,
            violated_property: None,
        }
    }

    fn begin(&mut self, index: usize) {
        let operator = &mut self.operators[index];
        operator.changes_left -= 1;
        let old = Document {
            version: 1,
            ..Document::default()
        };
        let in_force = Document {
            version: operator.parent,
            ..Document::default()
        };
        let author = format!("operator {index}, {} left", operator.changes_left);
        let document = rollback(&old, &in_force, author, String::new());
        let mut acceptance = Acceptance::new(&document, MAX_VALUE_BYTES);
        let step = acceptance.handle(Input::Start);
        let head = Head::of(&document);
        self.apply_step(index, head, acceptance, step);
    }

    /// Starts the I/O that a step asks for, or records the answer to the operator.
    fn apply_step(&mut self, index: usize, head: Head, acceptance: Acceptance, step: Step) {
        let under_way = match step {
            Step::Read(object) => Io::Read(object),
            Step::Write {
                object,
                expected,
                value,
            } => Io::Write((object, expected, value)),
            Step::Done(answer) => return self.record_answer(index, head, answer),
        };
        self.operators[index].running = Some(Running {
            head,
            acceptance,
            under_way,
        });
    }

    fn record_answer(&mut self, index: usize, head: Head, answer: Answer) {
        let operator = &mut self.operators[index];
        match answer {
            Answer::Accepted(accepted) => {
                operator.parent = accepted.version;
                if accepted != head || !self.applied.contains(&head) {
                    self.violated_property = Some("accepted, but never in force");
                }
            }
            Answer::Conflict { in_force } => {
                operator.parent = in_force.map_or(0, |document| document.version);
                self.rejected.push(head);
            }
            Answer::Refused(_) => self.rejected.push(head),
            Answer::Unknown => {}
        }
    }

    fn store(&mut self, (object, expected, value): Write) -> Result<Version, Fault> {
        let key = object_id(&object);
        let current = self.objects.get(&key).map(|(version, _)| *version);
        if current != expected {
            return Err(Fault::Conflict);
        }
        let version = current.unwrap_or(0) + 1;
        if object == Object::Current {
            let document = document(&value);
            self.applied.push(Head::of(&document));
        }
        self.objects.insert(key, (version, value));
        Ok(version)
    }

    /// Ends the I/O that is under way, with the fault that `event` names, if any.
    fn proceed(&mut self, index: usize, event: Event) {
        let Some(mut running) = self.operators[index].running.take() else {
            unreachable!("only a running acceptance proceeds")
        };
        let input = match (running.under_way, event) {
            (Io::Read(_), Event::Refused(_)) => Input::Read(Err(Fault::Unavailable)),
            (Io::Read(object), _) => {
                Input::Read(Ok(self.objects.get(&object_id(&object)).cloned()))
            }
            (Io::Write(_), Event::Refused(_)) => Input::Wrote(Err(Fault::Unavailable)),
            (Io::Write(_), Event::LostBefore(_)) => Input::Wrote(Err(Fault::Lost)),
            (Io::Write(write), Event::LostAfter(_)) => {
                let _ = self.store(write);
                Input::Wrote(Err(Fault::Lost))
            }
            (Io::Write(write), Event::LostAndLate(_)) => {
                self.late.push(write);
                Input::Wrote(Err(Fault::Lost))
            }
            (Io::Write(write), _) => Input::Wrote(self.store(write)),
        };
        let step = running.acceptance.handle(input);
        self.apply_step(index, running.head, running.acceptance, step);
    }

    fn crash(&mut self, index: usize, late: bool) {
        self.crashes_left -= 1;
        let running = self.operators[index].running.take();
        if let (Some(Io::Write(write)), true) = (running.map(|running| running.under_way), late) {
            self.late.push(write);
        }
    }

    /// Returns whether a late write would take effect now.
    fn can_land(&self, (object, expected, _): &Write) -> bool {
        self.objects
            .get(&object_id(object))
            .map(|(version, _)| *version)
            == *expected
    }
}

/// Returns the document in the value of an object without parts.
fn document(value: &[u8]) -> Document {
    let value: serde_json::Value = serde_json::from_slice(value).unwrap();
    serde_json::from_value(value["document"].clone()).unwrap()
}

impl World for Model {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, operator) in self.operators.iter().enumerate() {
            let Some(running) = &operator.running else {
                if operator.changes_left > 0 {
                    events.push(Event::Begin(index));
                }
                continue;
            };
            let writes = matches!(running.under_way, Io::Write(_));
            events.push(Event::Proceed(index));
            if self.faults_left > 0 {
                events.push(Event::Refused(index));
                if writes {
                    events.push(Event::LostBefore(index));
                    events.push(Event::LostAfter(index));
                    events.push(Event::LostAndLate(index));
                }
            }
            if self.crashes_left > 0 {
                events.push(Event::Crash(index));
                if writes {
                    events.push(Event::CrashAndLate(index));
                }
            }
        }
        let able_to_land = self
            .late
            .iter()
            .enumerate()
            .filter(|(_, write)| self.can_land(write));
        events.extend(able_to_land.map(|(index, _)| Event::LateWrite(index)));
        events.extend((0..self.applied.len()).map(Event::Observe));
        events
    }

    fn after(&self, event: &Event) -> Self {
        let mut next = self.clone();
        match *event {
            Event::Begin(index) => next.begin(index),
            Event::Proceed(index) => next.proceed(index, *event),
            Event::Refused(index)
            | Event::LostBefore(index)
            | Event::LostAfter(index)
            | Event::LostAndLate(index) => {
                next.faults_left -= 1;
                next.proceed(index, *event);
            }
            Event::LateWrite(index) => {
                let write = next.late.remove(index);
                let _ = next.store(write);
            }
            Event::Crash(index) => next.crash(index, false),
            Event::CrashAndLate(index) => next.crash(index, true),
            Event::Observe(index) => {
                let before = next.observer.in_force();
                let offer = next.observer.offer(next.applied[index]);
                let after = next.observer.in_force();
                let reverted = before.map(|head| head.version) > after.map(|head| head.version);
                if reverted || matches!(offer, Offer::Forked { .. }) {
                    next.violated_property =
                        Some("a daemon reverted, or saw two documents of one version");
                }
            }
        }
        next.late = next
            .late
            .iter()
            .filter(|write| next.can_land(write))
            .cloned()
            .collect();
        next
    }

    fn violation(&self) -> Option<String> {
        let versions_grow = self
            .applied
            .windows(2)
            .all(|pair| pair[0].version < pair[1].version);
        let in_history = |head: &Head| {
            let object = self.objects.get(&object_id(&Object::History(head.version)));
            object.is_some_and(|(_, value)| Head::of(&document(value)) == *head)
        };
        let replaced = self.applied.iter().rev().skip(1);
        let property = if let Some(property) = self.violated_property {
            property
        } else if !versions_grow {
            "a version was reverted or used twice"
        } else if self.rejected.iter().any(|head| self.applied.contains(head)) {
            "reported as without effect, but in force"
        } else if !replaced.into_iter().all(in_history) {
            "replaced without a history object"
        } else {
            return None;
        };
        Some(property.to_owned())
    }
}

/// Guards against a reverted version, a false report to an operator or a missing history object when operators race,
/// answers are lost, writes arrive late and daemons crash.
#[test]
fn no_interleaving_reverts_a_version() {
    for (changes, faults, crashes) in [([1, 1], 4, 1), ([2, 1], 2, 1), ([2, 2], 2, 0)] {
        let started = std::time::Instant::now();
        match explore(&Model::new(changes, faults, crashes)) {
            Ok(states) => println!(
                "{states} states in {:?}: changes {changes:?}, faults {faults}, crashes {crashes}",
                started.elapsed()
            ),
            Err(violation) => panic!("{}: {:#?}", violation.property, violation.trace),
        }
    }
}

/// Guards against daemons that keep different documents in force after a write without a conditional update has created
/// two documents of one version.
#[test]
fn two_documents_of_one_version_are_settled_alike() {
    let heads = ["a", "b"].map(|note| {
        let document = Document {
            version: 3,
            note: note.to_owned(),
            ..Document::default()
        };
        Encoded::new(&document, MAX_VALUE_BYTES).head
    });
    let mut settled = Vec::new();
    for order in [[0, 1], [1, 0]] {
        let mut precedence = Precedence::default();
        assert_eq!(precedence.offer(heads[order[0]]), Offer::Applied);
        assert!(matches!(
            precedence.offer(heads[order[1]]),
            Offer::Forked { .. }
        ));
        assert_eq!(precedence.forks(), 1);
        settled.push(precedence.in_force());
    }
    assert_eq!(settled[0], settled[1]);
}
