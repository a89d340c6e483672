//! Runs the commands on the pages in docs/ in order and compares their output with the page. Set
//! `JAYSTAND_UPDATE_PAGES=1` to write the current output into the pages.

mod support;

use std::{collections::BTreeSet, fmt::Write as _, fs, path::PathBuf};

use support::{
    example,
    live::{Live, start},
};

const FENCE: &str = "```";
const CONSOLE: &str = "```console";
const PROMPT: &str = "$ jaystand ";

fn workspace_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Replays a page against a daemon and asserts that the output equals the page.
async fn check_page(name: &str) {
    let path = workspace_root().join("docs").join(name);
    let page = fs::read_to_string(&path).expect("a page");
    let live = start(name).await;
    for file in ["sheet.csv", "directory.json", "jaystandd.toml"] {
        let text = example(&format!("tanekaha/{file}"));
        // The key files exist on the deployment's hosts only.
        let text = text.replace("/etc/jaystand/peer.key", "peer.key");
        live.scratch.write(file, text);
    }
    live.scratch.write("peer.key", "peer-key");
    let added = "design,lookup,kauri-9b,normal,repeatable,*,,,,,\n";
    live.scratch
        .write("monday.csv", example("tanekaha/sheet.csv") + added);
    let faulty = "scools,lookup,kauri-9b,soon,repeatable,*,,,,,\n";
    live.scratch
        .write("faulty.csv", example("tanekaha/sheet.csv") + faulty);
    live.scratch.write(
        "request.json",
        r#"{"model": "kauri-9b", "messages": [{"role": "user", "content": "a leak"}]}"#,
    );
    let printed = replay(&page, &live).await;
    if std::env::var_os("JAYSTAND_UPDATE_PAGES").is_some() {
        fs::write(&path, &printed).expect("a page");
    }
    assert_eq!(
        printed, page,
        "docs/{name} differs from what the commands print"
    );
}

/// Returns the page with the output of each command replaced by what the command prints now.
async fn replay(page: &str, live: &Live) -> String {
    let mut printed = String::new();
    let mut in_console = false;
    for line in page.lines() {
        if line == CONSOLE {
            in_console = true;
        } else if line == FENCE {
            in_console = false;
        }
        if let Some(command) = line.strip_prefix(PROMPT).filter(|_| in_console) {
            let words = split_words(command);
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            let output = live.run(&words).await;
            let (_, output) = output.split_once('\n').expect("a first line");
            writeln!(printed, "{line}\n{}", output.trim_end()).expect("a string");
        } else if !in_console || line == CONSOLE {
            writeln!(printed, "{line}").expect("a string");
        }
    }
    printed
}

/// Splits a command line into words. Spaces inside single quotes do not separate words.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            other => words.last_mut().expect("a word").push(other),
        }
    }
    words
}

/// Guards against a page whose commands do not work as written.
#[tokio::test(flavor = "multi_thread")]
async fn the_operations_page_prints_what_the_tool_prints() {
    check_page("OPERATIONS.md").await;
}

/// Guards against a page whose commands do not work as written.
#[tokio::test(flavor = "multi_thread")]
async fn the_guide_prints_what_the_tool_prints() {
    check_page("guide.md").await;
}

/// Guards against a page whose commands do not work as written.
#[tokio::test(flavor = "multi_thread")]
async fn the_security_page_prints_what_the_tool_prints() {
    check_page("security.md").await;
}

/// Guards against a page that names a metric, for example in an alarm, that neither daemon nor gateway exports.
#[test]
fn every_metric_of_the_pages_exists() {
    let mut sources = String::new();
    for part in ["daemon", "platform", "gateway"] {
        read_sources(
            &workspace_root().join("crates").join(part).join("src"),
            &mut sources,
        );
    }
    let mut seen = BTreeSet::new();
    for page in ["OPERATIONS.md", "guide.md", "security.md"] {
        let text = fs::read_to_string(workspace_root().join("docs").join(page)).expect("a page");
        let words = text.split(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_');
        let metrics = words.filter(|word| word.starts_with("jaystand_"));
        seen.extend(metrics.map(str::to_owned));
    }
    assert!(seen.len() > 10, "{seen:?}");
    for metric in seen {
        assert!(sources.contains(&format!("\"{metric}\"")), "{metric}");
    }
}

/// Appends the text of all files below `directory` to `sources`.
fn read_sources(directory: &std::path::Path, sources: &mut String) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else {
            *sources += &fs::read_to_string(path).expect("a source file");
        }
    }
}
