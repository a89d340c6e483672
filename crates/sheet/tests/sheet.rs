//! Tests of the routing sheet and the directory: which are accepted, which faults are reported, and which changes a
//! diff lists.

use std::{fmt::Write, path::Path};

use jaystand_sheet::{Directory, Document, Sheet, diff};
use jaystand_types::Urgency;
use miette::{GraphicalReportHandler, GraphicalTheme};
use proptest::prelude::*;

const HEADER: &str = "team,request kind,model or service,urgency,repeat rule,backend servers,\
    max in flight,requests per minute,first token ms,deadline s,expected tokens";

/// Returns the document of an example deployment.
fn document(deployment: &str) -> Document {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let read = |file| std::fs::read_to_string(folder.join(deployment).join(file)).unwrap();
    Document {
        version: 1,
        sheet: read("sheet.csv"),
        directory: serde_json::from_str(&read("directory.json")).unwrap(),
        ..Document::default()
    }
}

fn directory() -> Directory {
    let key = |digit: &str| digit.repeat(64);
    serde_json::from_value(serde_json::json!({
        "teams": [{"name": "schools", "key_hash": key("a")}, {"name": "design", "key_hash": key("b")}],
        "servers": [
            {"name": "e1", "address": "10.0.0.1:80", "data_centre": "north", "kind": "engine",
             "model": "small", "weights_version": "v1", "slots": 8},
            {"name": "e2", "address": "10.0.0.2:80", "data_centre": "south", "kind": "engine",
             "model": "large", "weights_version": "v1", "slots": 8},
            {"name": "s1", "address": "10.0.0.3:80", "data_centre": "south", "kind": "service",
             "model": "orders", "slots": 8},
        ],
        "models": [{"name": "small", "weights_version": "v1"}, {"name": "large", "weights_version": "v1"},
                   {"name": "unserved", "weights_version": "v1"}],
    }))
    .unwrap()
}

/// Returns the report that operators read on a sheet with faults.
fn report(sheet: &str, directory: &Directory) -> String {
    let faults = Sheet::try_from((sheet, directory)).expect_err("the sheet is wrong");
    let mut text = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::none())
        .with_width(200)
        .render_report(&mut text, &faults)
        .unwrap();
    text
}

/// Guards against an example in the repository that operators cannot apply.
#[test]
fn examples_of_both_deployments_are_accepted() {
    for (deployment, rules, servers) in [("tanekaha", 17, 24), ("cumbre", 12, 14)] {
        let document = document(deployment);
        let sheet = document
            .check()
            .unwrap_or_else(|faults| panic!("{faults:?}"));
        assert_eq!(sheet.rules.len(), rules, "{deployment}");
        assert_eq!(document.directory.servers.len(), servers, "{deployment}");
        assert_eq!(document.directory.teams.len(), 8, "{deployment}");
    }
}

/// Guards against a parser that accepts the CSV of one spreadsheet program only. Programs differ in byte order mark,
/// delimiter, quotes, line endings, blank rows, and the case and order of the headers.
#[test]
fn spreadsheet_dialects_give_the_same_rules() {
    let commas = "team,request kind,model or service,urgency,repeat rule,backend servers,max in flight,\
        requests per minute,first token ms,deadline s,expected tokens\n\
        schools,triage,small,urgent,repeatable,e1,4,,300,20,\n";
    let semicolons = "\u{feff}\"Urgency\";TEAM;Request_Kind; model  or service;repeat rule;\"Backend Servers\";\
        max in flight;requests per minute;first token ms;deadline s;expected tokens\r\n\r\n\
        URGENT;\"schools\";triage;small;Repeatable;\" e1 \";4;;300;20;\r\n;;;;;;;;;;\r\n;;\r\n";
    let directory = directory();
    let comma_sheet = Sheet::try_from((commas, &directory)).unwrap();
    let semicolon_sheet = Sheet::try_from((semicolons, &directory)).unwrap();
    assert_eq!(comma_sheet, semicolon_sheet);
    assert_eq!(comma_sheet.rules[0].urgency, Urgency::Urgent);
}

/// Guards against a fault that is missed, reported in the wrong place or without a remedy.
#[test]
fn every_kind_of_wrong_sheet_is_reported() {
    let wrong_rows = [
        ("unknown team", "scools,k,small,urgent,repeatable,*,,,,,"),
        ("empty team", ",k,small,urgent,repeatable,*,,,,,"),
        (
            "bad request kind",
            "schools,leak triage/1,small,urgent,repeatable,*,,,,,",
        ),
        ("unknown model", "schools,k,smal,urgent,repeatable,*,,,,,"),
        ("unknown urgency", "schools,k,small,ASAP,repeatable,*,,,,,"),
        ("unknown repeat rule", "schools,k,small,urgent,twice,*,,,,,"),
        (
            "unknown server",
            "schools,k,small,urgent,repeatable,e1 e9,,,,,",
        ),
        (
            "server of another model",
            "schools,k,small,urgent,repeatable,e1 e2,,,,,",
        ),
        (
            "server listed twice",
            "schools,k,small,urgent,repeatable,e1 e1,,,,,",
        ),
        (
            "star among names",
            "schools,k,small,urgent,repeatable,e1 *,,,,,",
        ),
        (
            "model without server",
            "schools,k,unserved,urgent,repeatable,*,,,,,",
        ),
        (
            "number with separator",
            "schools,k,small,urgent,repeatable,*,\"1,000\",,,,",
        ),
        ("zero limit", "schools,k,small,urgent,repeatable,*,,0,,,"),
        (
            "negative limit",
            "schools,k,small,urgent,repeatable,*,,,,-5,",
        ),
        (
            "deadline too long",
            "schools,k,small,urgent,repeatable,*,,,,86401,",
        ),
        (
            "deadline before first token",
            "schools,k,small,urgent,repeatable,*,,,5000,2,",
        ),
        (
            "cell too many",
            "schools,k,small,urgent,repeatable,*,,,,,,e2",
        ),
        ("row too short", "schools,k,small"),
        ("open quote", "schools,k,small,urgent,repeatable,\"*,,,,,"),
        (
            "rule twice",
            "schools,k,small,urgent,repeatable,*,,,,,\n\nschools,k,large,normal,repeatable,*,,,,,",
        ),
        (
            "row number after a line break in a cell",
            "schools,\"a\nb\",small,urgent,repeatable,*,,,,,\nx,k,small,urgent,repeatable,*,,,,,",
        ),
        (
            "several at once",
            "nobody,k,small,soon,maybe,e7 s1,x,,,,\n,,,,,,,,,,\nschools,k,orders,urgent,once,e1,,,,,1.5",
        ),
    ];
    let wrong_sheets = [
        ("empty sheet", String::new()),
        ("only empty rows", ",,,\n,,,\n".to_owned()),
        ("header without rule", format!("{HEADER}\n")),
        (
            "missing column",
            HEADER.replace("urgency,", "") + "\nschools,k,small,repeatable,*,,,,,",
        ),
        ("unknown column", format!("{HEADER},remarks\n")),
        ("column twice", format!("{HEADER},Team\n")),
    ];
    let rows = wrong_rows.map(|(name, rows)| (name, format!("{HEADER}\n{rows}\n")));
    let mut all = String::new();
    for (name, sheet) in rows.into_iter().chain(wrong_sheets) {
        writeln!(all, "## {name}\n{}", report(&sheet, &directory())).unwrap();
    }
    insta::assert_snapshot!(all);
}

/// Guards against a directory that is accepted although its names, keys, addresses or references are invalid or
/// ambiguous.
#[test]
fn every_kind_of_wrong_directory_is_reported() {
    let mut wrong = directory();
    wrong.teams[1].name = "schools".into();
    wrong.teams[1].key_hash = "B".repeat(64).into();
    wrong.teams.push(wrong.teams[0].clone());
    wrong.teams[2].name = "no key".into();
    wrong.teams[0].key_hash = "12345".into();
    wrong.models[0].serving_share = 101;
    wrong.models[2].weights_version = "".into();
    wrong.models[2].name = "orders".into();
    wrong.servers[0].model = "tiny".into();
    wrong.servers[0].weights_version = "".into();
    wrong.servers[1].address = wrong.servers[0].address;
    wrong.servers[1].name = "*".into();
    wrong.servers[2].address = "0.0.0.0:0".parse().unwrap();
    insta::assert_snapshot!(report(
        &format!("{HEADER}\nschools,k,small,urgent,repeatable,*,,,,,"),
        &wrong
    ));
}

/// Guards against a change that takes effect although the diff that the operator read does not list it.
#[test]
fn a_diff_names_every_change() {
    let old = document("tanekaha");
    let mut new = old.clone();
    new.directory.servers.pop();
    new.directory.models[0].weights_version = "2026-12-01".into();
    new.directory.teams[0].weight = 9.try_into().unwrap();
    new.sheet = new.sheet.replace(
        "schools,leak-triage,kauri-9b,urgent",
        "schools,leak-triage,kauri-9b,normal",
    );
    new.sheet = new.sheet.replace("volunteers,question", "volunteers,help");
    new.sheet += "volunteers,lookup,kauri-9b,normal,once,whau-engine-1,,,,,\n";
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(changes.join("\n"));
    assert!(diff(&old, &old).is_empty());
}

/// Guards against daemons that take equal documents for different ones or different documents for equal ones.
#[test]
fn the_hash_depends_on_content_only() {
    let document = document("cumbre");
    let pretty = serde_json::to_string_pretty(&document).unwrap();
    let reparsed: Document = serde_json::from_str(&pretty).unwrap();
    assert_eq!(document.hash(), reparsed.hash());
    let newer = Document {
        version: 2,
        ..reparsed
    };
    assert_ne!(document.hash(), newer.hash());
}

proptest! {
    /// Guards against a panic of the daemon or the command line on files with arbitrary content.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Sheet::try_from((text.as_ref(), &directory()));
        let _ = Sheet::try_from((format!("{HEADER}\n{text}").as_str(), &directory()));
        let _ = serde_json::from_slice::<Document>(&bytes);
    }

    /// Guards against a panic on text with valid cells, quotes and delimiters, which random bytes rarely contain.
    #[test]
    fn random_cells_never_panic(text in "(schools|e1|\\*|small|urgent|[,;\"\r\n 0-9é]){0,80}") {
        let _ = Sheet::try_from((format!("{HEADER}\r\n{text}").as_str(), &directory()));
    }
}
