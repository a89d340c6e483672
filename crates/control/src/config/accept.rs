//! The acceptance of a new document by one conditional update that replaces its parent.

use bytes::Bytes;
use jaystand_sheet::Document;
use jaystand_types::Version;

use super::{Corrupt, Encoded, Fault, Fetch, Fetched, Head, Input, Object, Progress};

/// Number of writes after which an acceptance gives up: those of `config/current`, and repeated ones of other objects.
/// If an answer to a write of `config/current` was lost, the result then stays unknown.
const MAX_WRITES: u32 = 3;

/// The acceptance of one document, which must have been checked completely.
///
/// Objects are written in this order: the history object of the document in force, the parts of the new document,
/// `config/current`, the history object of the new document. A document is therefore never replaced before its
/// history object exists, and an operator whose answer was lost can always find out whether the document was in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptance {
    parent: Version,
    new: Encoded,
    phase: Phase,
    fetch: Fetch,
    /// The document in force that the new one is to replace, as it was read.
    replaced: Option<Replaced>,
    writes: u32,
    /// Whether the answer to a write of `config/current` was lost, so that the write may have taken effect or may yet
    /// do so.
    lost: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replaced {
    object_version: Version,
    version: Version,
    value: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    New,
    ReadCurrent,
    WriteParentHistory,
    WritePart(usize),
    WriteCurrent,
    ReadHistory,
    WriteHistory,
    Ended,
}

/// What the caller has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read this object.
    Read(Object),
    /// Write an object if it is at version `expected`.
    Write {
        /// The object to write.
        object: Object,
        /// The version to replace; `None` if the object must not exist.
        expected: Option<Version>,
        /// The new value.
        value: Bytes,
    },
    /// Report the result. The acceptance has ended.
    Done(Answer),
}

/// The result of an acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The document took effect.
    Accepted(Head),
    /// The document did not and will not take effect, because its parent is not in force.
    Conflict {
        /// The document in force, to which the operator has to apply the change again.
        in_force: Option<Box<Document>>,
    },
    /// The document did not and will not take effect.
    Refused(Refusal),
    /// The document may have taken effect or may yet do so. Reading the configuration later shows which.
    Unknown,
}

/// Why a document was refused, other than by a conflict.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
pub enum Refusal {
    /// The platform is unreachable.
    #[error("the platform is unreachable; the configuration was not changed")]
    #[diagnostic(help("repeat the change later"))]
    Unreachable,
    /// The version of the document is not above that of its parent.
    #[error("version {version} is not above the parent version {parent}")]
    #[diagnostic(help("give the document a version above that of the document it replaces"))]
    Version {
        /// Version of the document.
        version: Version,
        /// Version of its parent.
        parent: Version,
    },
    /// The object in force cannot be decoded and must not be replaced.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Corrupt(#[from] Corrupt),
}

/// Returns a document with the content of `old` that replaces `in_force`.
#[must_use]
pub fn rollback(old: &Document, in_force: &Document, author: String, note: String) -> Document {
    Document {
        version: in_force.version + 1,
        parent: in_force.version,
        author,
        note,
        ..old.clone()
    }
}

impl Acceptance {
    /// Creates the acceptance of `document`, whose objects take at most `max_object_bytes` each.
    #[must_use]
    pub fn new(document: &Document, max_object_bytes: usize) -> Self {
        Self {
            parent: document.parent,
            new: Encoded::new(document, max_object_bytes),
            phase: Phase::New,
            fetch: Fetch::new(Object::Current).0,
            replaced: None,
            writes: 0,
            lost: false,
        }
    }

    /// Handles an event and returns what to do next. An input that does not fit the phase ends the acceptance with
    /// [`Answer::Unknown`].
    pub fn handle(&mut self, input: Input) -> Step {
        match (self.phase, input) {
            (Phase::New, Input::Start) => self.start(),
            (Phase::ReadCurrent | Phase::ReadHistory, Input::Read(result)) => {
                let progress = self.fetch.handle_read(result);
                self.handle_progress(progress)
            }
            (Phase::WriteParentHistory, Input::Wrote(result)) => self.handle_prepared(result, 0),
            (Phase::WritePart(index), Input::Wrote(result)) => {
                self.handle_prepared(result, index + 1)
            }
            (Phase::WriteCurrent, Input::Wrote(result)) => self.handle_current_written(result),
            // If this write failed, the next acceptance writes the history object.
            (Phase::WriteHistory, Input::Wrote(_)) => self.end(Answer::Accepted(self.new.head)),
            _ => self.end(Answer::Unknown),
        }
    }

    fn start(&mut self) -> Step {
        let version = self.new.head.version;
        if version <= self.parent {
            let parent = self.parent;
            return self.end(Answer::Refused(Refusal::Version { version, parent }));
        }
        self.read(Object::Current, Phase::ReadCurrent)
    }

    fn read(&mut self, object: Object, phase: Phase) -> Step {
        self.phase = phase;
        self.fetch = Fetch::new(object.clone()).0;
        Step::Read(object)
    }

    fn handle_progress(&mut self, progress: Progress) -> Step {
        match progress {
            Progress::Read(object) => Step::Read(object),
            Progress::Done(found) if self.phase == Phase::ReadHistory => {
                self.handle_history(found.as_deref())
            }
            Progress::Done(found) => self.handle_current(found),
            Progress::Unreachable => self.fail(Refusal::Unreachable),
            Progress::Corrupt(corrupt) => self.fail(corrupt.into()),
        }
    }

    /// Decides based on the document in force, before the first write and after each failed one.
    fn handle_current(&mut self, found: Option<Box<Fetched>>) -> Step {
        let in_force = found.as_ref().map(|found| Head::of(&found.document));
        if in_force == Some(self.new.head) {
            return self.write_history();
        }
        let version = in_force.map_or(0, |head| head.version);
        if version == self.parent {
            if self.writes >= MAX_WRITES {
                return self.fail(Refusal::Unreachable);
            }
            self.replaced = found.map(|found| Replaced {
                object_version: found.object_version,
                version,
                value: found.value,
            });
            return self.write_parent_history();
        }
        if self.lost && version > self.new.head.version {
            return self.read(Object::History(self.new.head.version), Phase::ReadHistory);
        }
        let in_force = found.map(|found| Box::new(found.document));
        self.end(Answer::Conflict { in_force })
    }

    /// Decides based on the history object of the document's version, after a later version has come into force.
    fn handle_history(&mut self, found: Option<&Fetched>) -> Step {
        let was_in_force = found.is_some_and(|found| Head::of(&found.document) == self.new.head);
        if was_in_force {
            return self.end(Answer::Accepted(self.new.head));
        }
        // The lost write can no longer take effect, so the document in force is reported as a conflict.
        self.lost = false;
        self.read(Object::Current, Phase::ReadCurrent)
    }

    /// Writes the history object of the document in force, or the first part if no document is in force.
    fn write_parent_history(&mut self) -> Step {
        let Some(replaced) = &self.replaced else {
            return self.write_part(0);
        };
        self.phase = Phase::WriteParentHistory;
        Step::Write {
            object: Object::History(replaced.version),
            expected: None,
            value: replaced.value.clone(),
        }
    }

    /// Continues after a write of the parent's history object or of a part. Both have fixed content, so an existing
    /// object is as good as a newly written one, and a lost write can be repeated.
    fn handle_prepared(&mut self, result: Result<Version, Fault>, next_part: usize) -> Step {
        match result {
            Ok(_) | Err(Fault::Conflict) => self.write_part(next_part),
            Err(Fault::Unavailable) => self.fail(Refusal::Unreachable),
            Err(Fault::Lost) if self.writes >= MAX_WRITES => self.fail(Refusal::Unreachable),
            Err(Fault::Lost) => {
                self.writes += 1;
                if self.phase == Phase::WriteParentHistory {
                    self.write_parent_history()
                } else {
                    self.write_part(next_part - 1)
                }
            }
        }
    }

    /// Writes the part with this index, or `config/current` after the last one.
    fn write_part(&mut self, index: usize) -> Step {
        let Some((name, part)) = self.new.parts.get(index) else {
            return self.write_current();
        };
        self.phase = Phase::WritePart(index);
        Step::Write {
            object: Object::Part(name.clone()),
            expected: None,
            value: part.clone(),
        }
    }

    fn write_current(&mut self) -> Step {
        self.phase = Phase::WriteCurrent;
        self.writes += 1;
        Step::Write {
            object: Object::Current,
            expected: self
                .replaced
                .as_ref()
                .map(|replaced| replaced.object_version),
            value: self.new.value.clone(),
        }
    }

    fn handle_current_written(&mut self, result: Result<Version, Fault>) -> Step {
        match result {
            Ok(_) => self.write_history(),
            Err(Fault::Unavailable) => self.fail(Refusal::Unreachable),
            Err(fault) => {
                self.lost |= fault == Fault::Lost;
                self.read(Object::Current, Phase::ReadCurrent)
            }
        }
    }

    /// Writes the history object of the new document, which has taken effect.
    fn write_history(&mut self) -> Step {
        self.phase = Phase::WriteHistory;
        Step::Write {
            object: Object::History(self.new.head.version),
            expected: None,
            value: self.new.value.clone(),
        }
    }

    /// Ends with a refusal, or with [`Answer::Unknown`] if a lost write may take effect.
    fn fail(&mut self, refusal: Refusal) -> Step {
        let answer = if self.lost {
            Answer::Unknown
        } else {
            Answer::Refused(refusal)
        };
        self.end(answer)
    }

    fn end(&mut self, answer: Answer) -> Step {
        self.phase = Phase::Ended;
        Step::Done(answer)
    }
}
