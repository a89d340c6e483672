//! Acceptance of a new document by one conditional update that names its parent.

use bytes::Bytes;
use jaystand_sheet::Document;
use jaystand_types::Version;

use super::{Corrupt, Encoded, Fault, Fetch, Fetched, Head, Input, Object, Progress};

/// Writes of `config/current` after which a lost answer is left open.
const MAX_WRITES: u32 = 3;

/// The acceptance of one document that has been checked whole.
///
/// The order of writes is: the history object of the document in force, the parts, `config/current`, the history
/// object of the new document. A document is thus never replaced before its history object exists, and an operator
/// whose answer was lost can always learn whether the document was in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptance {
    parent: Version,
    new: Encoded,
    phase: Phase,
    fetch: Fetch,
    /// The document in force as it was read, which the new one is to replace.
    replaced: Option<Replaced>,
    writes: u32,
    /// Whether a write of `config/current` may have taken effect, or may yet do so.
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

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read this object.
    Read(Object),
    /// Write this object if it is at `expected`; none when it must not exist.
    Write {
        /// The object.
        object: Object,
        /// Its expected version.
        expected: Option<Version>,
        /// Its new value.
        value: Bytes,
    },
    /// The end.
    Done(Answer),
}

/// What became of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It took effect.
    Accepted(Head),
    /// It did not and will not take effect, because its parent is not in force.
    Conflict {
        /// The document in force; the operator repeats the change on top of it.
        in_force: Option<Box<Document>>,
    },
    /// It did not and will not take effect.
    Refused(Refusal),
    /// It may have taken effect or may yet do so. Reading the configuration later shows it.
    Unknown,
}

/// Why a document was refused without a conflict.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
pub enum Refusal {
    /// The platform is unreachable.
    #[error("the platform is unreachable; the configuration was not changed")]
    #[diagnostic(help("repeat the change later"))]
    Unreachable,
    /// The version is not above the parent's.
    #[error("version {version} is not above the parent version {parent}")]
    #[diagnostic(help("give the document a version above that of the document it replaces"))]
    Version {
        /// The document's version.
        version: Version,
        /// Its parent's.
        parent: Version,
    },
    /// The object in force cannot be understood, so that it must not be replaced.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Corrupt(#[from] Corrupt),
}

/// A document with the content of `old` that replaces `in_force`.
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
    /// The acceptance of `document`, in objects of at most `limit` bytes.
    #[must_use]
    pub fn new(document: &Document, limit: usize) -> Self {
        Self {
            parent: document.parent,
            new: Encoded::new(document, limit),
            phase: Phase::New,
            fetch: Fetch::new(Object::Current).0,
            replaced: None,
            writes: 0,
            lost: false,
        }
    }

    /// Takes what happened and returns what to do. An input that does not fit is answered by `Unknown`.
    pub fn handle(&mut self, input: Input) -> Step {
        match (self.phase, input) {
            (Phase::New, Input::Start) => self.start(),
            (Phase::ReadCurrent | Phase::ReadHistory, Input::Read(result)) => {
                let progress = self.fetch.handle_read(result);
                self.fetched(progress)
            }
            (Phase::WriteParentHistory, Input::Wrote(result)) => self.prepared(result, 0),
            (Phase::WritePart(index), Input::Wrote(result)) => self.prepared(result, index + 1),
            (Phase::WriteCurrent, Input::Wrote(result)) => self.wrote_current(result),
            // The next acceptance writes the history object if this write has failed.
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

    fn fetched(&mut self, progress: Progress) -> Step {
        match progress {
            Progress::Read(object) => Step::Read(object),
            Progress::Done(found) if self.phase == Phase::ReadHistory => {
                self.settle(found.as_deref())
            }
            Progress::Done(found) => self.found_current(found),
            Progress::Unreachable => self.fail(Refusal::Unreachable),
            Progress::Corrupt(corrupt) => self.fail(corrupt.into()),
        }
    }

    /// Decides by the document in force, before the first write and after each failed one.
    fn found_current(&mut self, found: Option<Box<Fetched>>) -> Step {
        let in_force = found.as_ref().map(|found| Head::of(&found.document));
        if in_force == Some(self.new.head) {
            return self.accepted();
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

    /// Decides by the history object of the document's version, after the document in force has gone past it.
    fn settle(&mut self, found: Option<&Fetched>) -> Step {
        let was_in_force = found.is_some_and(|found| Head::of(&found.document) == self.new.head);
        if was_in_force {
            return self.end(Answer::Accepted(self.new.head));
        }
        // The lost write can no longer take effect, so that what is in force now is reported as a conflict.
        self.lost = false;
        self.read(Object::Current, Phase::ReadCurrent)
    }

    fn write_parent_history(&mut self) -> Step {
        let Some(replaced) = &self.replaced else {
            return self.write_parts(0);
        };
        self.phase = Phase::WriteParentHistory;
        Step::Write {
            object: Object::History(replaced.version),
            expected: None,
            value: replaced.value.clone(),
        }
    }

    /// Continues after a history object or a part. Both are written once with fixed content, so that one that
    /// exists is as good as one just written, and a lost write is simply repeated.
    fn prepared(&mut self, result: Result<Version, Fault>, next: usize) -> Step {
        match result {
            Ok(_) | Err(Fault::Conflict) => self.write_parts(next),
            Err(Fault::Unavailable) => self.fail(Refusal::Unreachable),
            Err(Fault::Lost) if self.writes >= MAX_WRITES => self.fail(Refusal::Unreachable),
            Err(Fault::Lost) => {
                self.writes += 1;
                if self.phase == Phase::WriteParentHistory {
                    self.write_parent_history()
                } else {
                    self.write_parts(next - 1)
                }
            }
        }
    }

    fn write_parts(&mut self, index: usize) -> Step {
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

    fn wrote_current(&mut self, result: Result<Version, Fault>) -> Step {
        match result {
            Ok(_) => self.accepted(),
            Err(Fault::Unavailable) => self.fail(Refusal::Unreachable),
            Err(fault) => {
                self.lost |= fault == Fault::Lost;
                self.read(Object::Current, Phase::ReadCurrent)
            }
        }
    }

    fn accepted(&mut self) -> Step {
        self.phase = Phase::WriteHistory;
        Step::Write {
            object: Object::History(self.new.head.version),
            expected: None,
            value: self.new.value.clone(),
        }
    }

    /// Ends without an effect, unless a lost write may have one.
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
