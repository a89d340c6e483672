//! Configuration objects: large documents in parts, and damaged objects that must not come into force.

use std::collections::BTreeMap;

use bytes::Bytes;
use jaystand_control::config::{
    Acceptance, Answer, Corrupt, Encoded, Fetch, Head, Input, Object, Progress, Refusal, Step,
};
use jaystand_sheet::Document;

/// Objects whose reads and writes always succeed, and the kinds of the written objects in order.
#[derive(Default)]
struct Store {
    objects: BTreeMap<String, (u64, Bytes)>,
    written: Vec<String>,
}

fn object_id(object: &Object) -> String {
    format!("{}/{}", object.kind(), object.name())
}

impl Store {
    fn accept(&mut self, document: &Document, max_object_bytes: usize) -> Answer {
        let mut acceptance = Acceptance::new(document, max_object_bytes);
        let mut input = Input::Start;
        loop {
            input = match acceptance.handle(input) {
                Step::Read(object) => {
                    Input::Read(Ok(self.objects.get(&object_id(&object)).cloned()))
                }
                Step::Write { object, value, .. } => {
                    let version = self.objects.len() as u64 + 1;
                    assert!(
                        value.len() <= max_object_bytes,
                        "{object:?} has {} bytes",
                        value.len()
                    );
                    self.written.push(object.kind().to_owned());
                    self.objects.insert(object_id(&object), (version, value));
                    Input::Wrote(Ok(version))
                }
                Step::Done(answer) => return answer,
            };
        }
    }

    fn fetch(&self) -> Result<Option<Document>, Corrupt> {
        let (mut fetch, mut progress) = Fetch::new(Object::Current);
        loop {
            progress = match progress {
                Progress::Read(object) => {
                    fetch.handle_read(Ok(self.objects.get(&object_id(&object)).cloned()))
                }
                Progress::Done(found) => return Ok(found.map(|found| found.document)),
                Progress::Corrupt(corrupt) => return Err(corrupt),
                Progress::Unreachable => unreachable!("every read succeeds"),
            };
        }
    }
}

fn document(version: u64, sheet: &str) -> Document {
    Document {
        version,
        parent: version - 1,
        sheet: sheet.to_owned(),
        ..Document::default()
    }
}

/// Guards against a manifest that readers see before its parts exist, and against values over the platform's limit.
#[test]
fn a_large_document_is_written_in_parts_first() {
    let mut store = Store::default();
    let large = document(1, &"row\n".repeat(1000));
    assert_eq!(
        store.accept(&large, 700),
        Answer::Accepted(Head::of(&large))
    );
    assert_eq!(store.fetch(), Ok(Some(large)));
    let small = document(2, "");
    assert_eq!(
        store.accept(&small, 700),
        Answer::Accepted(Head::of(&small))
    );
    let last_part = store
        .written
        .iter()
        .rposition(|kind| kind == "config-part")
        .unwrap();
    assert_eq!(
        store.written[last_part + 1..],
        [
            "config",
            "config-history",
            "config-history",
            "config",
            "config-history"
        ]
    );
}

/// Guards against applying or replacing a configuration object that is damaged or of an unknown format.
#[test]
fn damage_is_reported_and_not_replaced() {
    let single = Encoded::new(&document(1, "row"), 700);
    let text = String::from_utf8(single.value.to_vec()).unwrap();
    let split = Encoded::new(&document(1, &"row\n".repeat(1000)), 700);
    let part_name = split.parts[0].0.clone();
    let cases = [
        (Bytes::from_static(b"{"), "does not decode"),
        (Bytes::from_static(b"{\"format\":2}"), "unknown format 2"),
        (text.replace("row", "cow").into(), "hash or version"),
        (
            text.replacen("\"version\":1", "\"version\":2", 1).into(),
            "hash or version",
        ),
        (
            text.replacen('{', "{\"new\":1,", 1).into(),
            "does not decode",
        ),
        (split.value, part_name.as_str()),
    ];
    for (value, expected) in cases {
        let mut store = Store::default();
        store
            .objects
            .insert("config/current".to_owned(), (1, value.clone()));
        let corrupt = store.fetch().unwrap_err();
        assert!(corrupt.to_string().contains(expected), "{corrupt}");
        let answer = store.accept(&document(2, ""), 700);
        assert_eq!(answer, Answer::Refused(Refusal::Corrupt(corrupt)));
        assert!(store.written.is_empty());
    }
}

/// Guards against an operator's change that overwrites a document on which it was not based.
#[test]
fn a_document_on_another_parent_conflicts() {
    let mut store = Store::default();
    let first = document(1, "first");
    assert_eq!(
        store.accept(&first, 700),
        Answer::Accepted(Head::of(&first))
    );
    let conflict = Answer::Conflict {
        in_force: Some(Box::new(first)),
    };
    assert_eq!(store.accept(&document(1, "other"), 700), conflict);
    assert_eq!(store.accept(&document(3, "other"), 700), conflict);
    let mut own_parent = document(2, "");
    own_parent.parent = 2;
    assert!(matches!(
        store.accept(&own_parent, 700),
        Answer::Refused(Refusal::Version { .. })
    ));
}

/// Guards against a first configuration that daemons cannot read or replace because a deployment tool wrote it as a
/// bare document.
#[test]
fn a_bare_document_is_read_and_replaced() {
    let mut store = Store::default();
    let first = document(1, "first");
    let bare = serde_json::to_vec(&first).unwrap();
    store
        .objects
        .insert("config/current".to_owned(), (1, bare.into()));
    assert_eq!(store.fetch(), Ok(Some(first)));
    let second = document(2, "second");
    assert_eq!(
        store.accept(&second, 700),
        Answer::Accepted(Head::of(&second))
    );
}
