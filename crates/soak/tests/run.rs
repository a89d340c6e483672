//! Short runs with real processes.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak");
    Command::new(env!("CARGO_BIN_EXE_jaystand-soak"))
        .arg("run")
        .args(arguments)
        .arg("--folder")
        .arg(folder)
        .output()
        .expect("the soak starts")
}

/// Guards against broken promises under the faults of the listed cases: the seeds that failed once, and the short run
/// of CI.
#[test]
fn the_cases_keep_the_promises() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("cases.toml");
    let text = std::fs::read_to_string(path).expect("the cases");
    let cases: toml::Table = toml::from_str(&text).expect("TOML");
    let cases = cases["case"].as_array().expect("a list of cases");
    for case in cases {
        let (seed, minutes) = (&case["seed"].to_string(), &case["minutes"].to_string());
        let output = run(&["--seed", seed, "--minutes", minutes]);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "seed {seed}: {text}");
        assert!(text.contains("\"200\""), "nothing was served: {text}");
    }
}

/// Guards against a run that is too short for a fault and the time to recover, and so checks nothing.
#[test]
fn a_run_that_checks_nothing_is_refused() {
    let output = run(&["--seed", "1", "--minutes", "0.1"]);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("too short"), "{text}");
}
