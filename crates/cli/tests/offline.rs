//! Tests of the output and exit codes of commands that call no daemon.

mod support;

use support::{Scratch, example};

const HEADER: &str = "team,request kind,model or service,urgency,repeat rule,backend servers,max in flight,\
                      requests per minute,first token ms,deadline s,expected tokens";

/// Guards against a fault that is not printed, or printed without row, column or remedy. Each kind of fault has its own
/// test in crates/sheet; this test checks that the tool prints all of them.
#[test]
fn every_fault_of_a_sheet_is_printed() {
    let scratch = Scratch::new("sheet");
    scratch.write("directory.json", example("tanekaha/directory.json"));
    let rows = [
        "scools,k,kauri-9b,urgent,repeatable,*,,,,,",
        ",k,kauri-9b,urgent,repeatable,*,,,,,",
        "schools,leak triage/1,kauri-9b,urgent,repeatable,*,,,,,",
        "schools,a,kauri,urgent,repeatable,*,,,,,",
        "schools,b,kauri-9b,ASAP,repeatable,*,,,,,",
        "schools,c,kauri-9b,urgent,twice,*,,,,,",
        "schools,d,kauri-9b,urgent,repeatable,whau-engine-9,,,,,",
        "schools,e,kauri-9b,urgent,repeatable,whau-engine-5,,,,,",
        "schools,f,kauri-9b,urgent,repeatable,whau-engine-1 whau-engine-1,,,,,",
        "schools,g,kauri-9b,urgent,repeatable,whau-engine-1 *,,,,,",
        "schools,h,kauri-9b,urgent,repeatable,*,\"1,000\",,,,",
        "schools,i,kauri-9b,urgent,repeatable,*,,0,,,",
        "schools,j,kauri-9b,urgent,repeatable,*,,,,86401,",
        "schools,l,kauri-9b,urgent,repeatable,*,,,5000,2,",
        "schools,m,kauri-9b,urgent,repeatable,*,,,,,,more",
        "schools,n,kauri-9b",
        "schools,o,kauri-9b,urgent,repeatable,*,,,,,",
        "schools,o,kauri-9b,normal,repeatable,*,,,,,",
    ];
    scratch.write("sheet.csv", format!("{HEADER}\n{}\n", rows.join("\n")));
    let mut all = scratch.run(&["sheet", "check"]);
    scratch.write("unknown.csv", format!("{HEADER},remarks,team\n"));
    all += &scratch.run(&["sheet", "check", "--sheet", "unknown.csv"]);
    scratch.write("missing.csv", HEADER.replace("urgency,", "") + "\n");
    all += &scratch.run(&["sheet", "check", "--sheet", "missing.csv"]);
    scratch.write("empty.csv", "");
    all += &scratch.run(&["sheet", "check", "--sheet", "empty.csv"]);
    scratch.write("quote.csv", format!("{HEADER}\nschools,\"k\n"));
    all += &scratch.run(&["sheet", "check", "--sheet", "quote.csv"]);
    scratch.write("latin1.csv", b"team,caf\xe9");
    all += &scratch.run(&["sheet", "check", "--sheet", "latin1.csv"]);
    scratch.write("bad.json", "{\"teams\": 3}");
    all += &scratch.run(&["sheet", "check", "--directory", "bad.json"]);
    all += &scratch.run(&["sheet", "check", "--sheet", "none.csv"]);
    all += &scratch.run(&["sheet", "check", "--sheet", "empty.csv", "--json"]);
    insta::assert_snapshot!(all);
}

/// Guards against wrong settings that the tool accepts although the daemon refuses them.
#[test]
fn every_fault_of_settings_is_printed() {
    let scratch = Scratch::new("settings");
    scratch.write(
        "wrong.toml",
        "bootstrap = 7\ncolour = \"red\"\npeers = 3\n[host]\nname = \"\"\nregion = \"a b\"\n\
         [listen]\ncallers = \"localhost\"\nadmin = 8081\nport = 1\n\
         [platform]\naddress = \"127.0.0.1:5\"\nbudget_per_s = 0\n\
         [limits]\nbody_bytes = 0\nheader_timeout = \"soon\"\nqueue = -1\n[policy]\nname = \"fastest\"\n\
         [log]\nlevel = \"loud\"\n[trace]\nendpoint = \"http://127.0.0.1:4317\"\nsample = 2.0\n",
    );
    scratch.write("syntax.toml", "[host\n");
    let mut all = scratch.run(&["settings", "check", "wrong.toml"]);
    all += &scratch.run(&["settings", "check", "syntax.toml"]);
    all += &scratch.run(&["settings", "check", "none.toml"]);
    insta::assert_snapshot!(all);
    let defaults = scratch.command(&["settings", "defaults"]).output();
    scratch.write("defaults.toml", defaults.expect("a run").stdout);
    let checked = scratch.run(&["settings", "check", "defaults.toml"]);
    assert!(checked.ends_with("no faults\nexit 0\n\n"), "{checked}");
}

/// Guards against files in `examples` that fail the checks of the tool or the daemon.
#[test]
fn the_examples_pass_the_checks() {
    for (deployment, rules) in [("tanekaha", 17), ("cumbre", 12)] {
        let scratch = Scratch::new(deployment);
        for file in ["sheet.csv", "directory.json", "jaystandd.toml"] {
            scratch.write(file, example(&format!("{deployment}/{file}")));
        }
        let checked = scratch.run(&["sheet", "check"]);
        let expected = format!("$ jaystand sheet check\nno faults: {rules} rules\nexit 0\n\n");
        assert_eq!(checked, expected);
        // The key files exist on the deployment's hosts only.
        scratch.write("peer.key", "peer-key");
        let settings = example(&format!("{deployment}/jaystandd.toml"));
        let settings = settings.replace("/etc/jaystand/peer.key", "peer.key");
        scratch.write("jaystandd.toml", settings);
        let checked = scratch.run(&["settings", "check", "jaystandd.toml"]);
        assert!(checked.ends_with("no faults\nexit 0\n\n"), "{checked}");
    }
}

/// Guards against exit codes that differ from the documented ones, and against `--help` without examples.
#[test]
fn usage_and_help_are_as_documented() {
    let scratch = Scratch::new("usage");
    let mut all = scratch.run(&["--help"]);
    for line in [
        &["sheet", "aply"][..],
        &["sheet", "rollback", "x"],
        &["team", "list"],
        &["team", "list", "--admin-key-file", "none"],
        &["--address", "no where", "--admin-key", "k", "host", "list"],
        &[
            "--address",
            "127.0.0.1:1",
            "--admin-key",
            "k",
            "host",
            "list",
        ],
    ] {
        all += &scratch.run(line);
    }
    insta::assert_snapshot!(all);
    for shell in ["bash", "zsh", "fish"] {
        let script = scratch.run(&["completions", shell]);
        assert!(script.contains("rollback"), "{shell}");
    }
}

/// Guards against a trace that leaves out a host, includes lines of other requests, or stops at a line that cannot be
/// parsed.
#[test]
fn a_request_is_traced_through_the_logs_of_two_hosts() {
    let scratch = Scratch::new("trace");
    let line = |time: f64, host: &str, rest: &str| {
        format!(
            "{{\"time\":{time},\"level\":\"INFO\",\"target\":\"t\",\"host\":\"{host}\",{rest}}}\n"
        )
    };
    let end =
        "\"message\":\"request ended\",\"request\":\"r-1\",\"status\":503,\"reason\":\"attempts\"";
    let refused = "\"message\":\"the server refused the request\",\"request\":\"r-1\",\"server\":\"i-7\",\"status\":421";
    let gone = "\"message\":\"another server listens at its address; the server is gone\",\"server\":\"i-7\"";
    let first_log = line(101.25, "one", end)
        + &line(101.2, "one", refused)
        + &line(101.2, "one", &refused.replace("r-1", "r-2"))
        + "{\"time\":101.3,\"mess\n\n"
        + &line(101.1, "one", &gone.replace("i-7", "i-8"));
    scratch.write("one.log", first_log);
    let second_log = line(
        104.5,
        "two",
        &end.replace("503", "200").replace("attempts", "answered"),
    ) + &format!("2026-12-04 two: {}", line(99.0, "two", gone))
        + &line(90.0, "two", gone);
    scratch.write("two.log", second_log);
    let mut all = scratch.run(&["trace", "r-1", "one.log", "two.log"]);
    all += &scratch.run(&["trace", "r-1", "one.log", "two.log", "--context"]);
    all += &scratch.run(&["trace", "r-1", "two.log", "--json"]);
    all += &scratch.run(&["trace", "r-9", "one.log"]);
    all += &scratch.run(&["trace", "r-1", "none.log"]);
    insta::assert_snapshot!(all);
}

/// Guards against requests that are counted in the wrong column: a stream that is late by a pause as late by its first
/// event, a stream cut after status 200 as in time, or a refusal of the gateway as one of a server.
#[test]
fn losses_are_counted_by_what_became_of_requests() {
    let scratch = Scratch::new("losses");
    let line = |time: f64, kind: &str, status: u16, reason: &str, first: u64, pause: u64| {
        format!(
            "host-1 {{\"time\":{time},\"host\":\"one\",\"message\":\"request ended\",\"kind\":\"{kind}\",\
             \"status\":{status},\"reason\":\"{reason}\",\"objective_ms\":600,\"first_ms\":{first},\
             \"most_pause_ms\":300,\"pause_ms\":{pause},\"prompt\":{}}}\n",
            first * 10
        )
    };
    let log = [
        line(100.0, "ask", 200, "streamed", 400, 300),
        line(100.5, "ask", 200, "streamed", 601, 500),
        line(101.0, "ask", 200, "streamed", 600, 301),
        line(104.0, "ask", 502, "stream broke off", 20, 900),
        line(104.5, "ask", 503, "no_server", 0, 0),
        line(105.0, "ask", 200, "caller gone", 30, 0),
        line(109.9, "ask", 499, "caller gone before the answer", 0, 0),
        line(109.0, "order", 503, "answered", 0, 0),
        line(109.0, "order", 502, "attempts", 0, 0),
        line(109.0, "order", 401, "unknown key", 0, 0),
        "{\"time\":90.0,\"message\":\"started\"}\nnot a line\n".to_owned(),
    ];
    scratch.write("one.log", log.concat());
    let mut all = scratch.run(&["losses", "one.log"]);
    all += &scratch.run(&["losses", "one.log", "--by", "time"]);
    all += &scratch.run(&["losses", "one.log", "--by", "size", "--json"]);
    scratch.write("none.log", "{\"time\":1,\"message\":\"started\"}\n");
    all += &scratch.run(&["losses", "none.log"]);
    all += &scratch.run(&["losses", "missing.log"]);
    insta::assert_snapshot!(all);
}
