//! Commands on the state of daemons: request kinds, backend servers, hosts, placement, requests and the log level.

use std::{io::Read, path::Path};

use hyper::Method;
use jaystand_sheet::{Rule, Target};
use percent_encoding::{NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde_json::{Value, json};

use crate::{
    arguments::{Explain, Host, Kind, Request, Server},
    client::Client,
    error::Error,
    output::{Output, print_table},
};

pub(crate) async fn kinds(command: &Kind, client: &Client, output: &Output) -> Result<(), Error> {
    let Kind::List = command;
    let document = client.config().await?.unwrap_or_default();
    let sheet = document.check().map_err(|faults| {
        Error::refused(
            format!("the sheet in force does not pass the checks of this tool: {faults}"),
            "use the tool of the daemons' version",
        )
    })?;
    let kinds: Vec<Value> = sheet.rules.iter().map(kind_json).collect();
    let columns = [
        ("team", "/team"),
        ("request kind", "/kind"),
        ("model or service", "/target"),
        ("urgency", "/urgency"),
        ("repeat rule", "/repeat"),
        ("servers", "/servers"),
        ("first token ms", "/first_token_ms"),
        ("deadline s", "/deadline_s"),
    ];
    output.show_table(&json!({"kinds": kinds}), "kinds", &columns);
    Ok(())
}

fn kind_json(rule: &Rule) -> Value {
    let (Target::Model(target) | Target::Service(target)) = &rule.target;
    json!({
        "team": rule.team,
        "kind": rule.kind,
        "target": target,
        "urgency": rule.urgency,
        "repeat": rule.repeat,
        "servers": rule.servers.len(),
        "first_token_ms": rule.limits.first_token.as_secs() * 1_000
            + u64::from(rule.limits.first_token.subsec_millis()),
        "deadline_s": rule.limits.deadline.as_secs(),
    })
}

pub(crate) async fn servers(
    command: Server,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let (name, verb) = match command {
        Server::List => return list_servers(client, output).await,
        Server::Drain { name } => (name, "drain"),
        Server::Undrain { name } => (name, "undrain"),
    };
    let path = format!("/v1/servers/{}/{verb}", encode_segment(&name));
    let report = client.post(&path, &Value::Null).await?;
    output.show(&report, || {
        let state = if report["drained"] == true {
            "is drained: it gets no new work"
        } else {
            "is not drained"
        };
        anstream::println!("{name} {state}");
    });
    Ok(())
}

async fn list_servers(client: &Client, output: &Output) -> Result<(), Error> {
    let columns = [
        ("server", "/name"),
        ("address", "/address"),
        ("data centre", "/data_centre"),
        ("kind", "/kind"),
        ("model", "/model"),
        ("weights", "/weights_version"),
        ("slots", "/slots"),
        ("in flight here", "/in_flight"),
        ("load", "/load"),
        ("leaving", "/leaving"),
        ("drained", "/drained"),
    ];
    output.show_table(&client.get("/v1/servers").await?, "servers", &columns);
    Ok(())
}

pub(crate) async fn hosts(command: &Host, client: &Client, output: &Output) -> Result<(), Error> {
    let Host::List = command;
    let columns = [
        ("host", "/name"),
        ("data centre", "/data_centre"),
        ("region", "/region"),
        ("address", "/address"),
        ("state", "/state"),
        ("version", "/config/version"),
    ];
    output.show_table(&client.get("/v1/hosts").await?, "hosts", &columns);
    Ok(())
}

pub(crate) async fn explain(
    command: Explain,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let request = read_request(&command.file)?;
    let body = json!({"team": command.team, "kind": command.kind, "request": request});
    let explanation = client.post("/v1/explain", &body).await?;
    output.show(&explanation, || {
        anstream::println!(
            "{} / {} ({}): {} prompt tokens in {} levels",
            explanation["team"].as_str().unwrap_or_default(),
            explanation["kind"].as_str().unwrap_or_default(),
            explanation["urgency"].as_str().unwrap_or_default(),
            explanation["prompt_tokens"],
            explanation["levels"],
        );
        let columns = [
            ("server", "/server"),
            ("why", "/source"),
            ("queue ms", "/queue_ms"),
            ("prefill ms", "/prefill_ms"),
            ("missed tokens", "/missed_tokens"),
            ("link ms", "/link_ms"),
            ("health ms", "/health_ms"),
            ("score ms", "/score_ms"),
        ];
        let candidates = explanation["candidates"].as_array();
        print_table(candidates.map_or(&[][..], Vec::as_slice), &columns);
    });
    Ok(())
}

fn read_request(path: &Path) -> Result<Value, Error> {
    let mut text = String::new();
    let result = if path == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(path).map(|content| text = content)
    };
    result.map_err(|error| {
        Error::usage(
            format!("{}: cannot be read: {error}", path.display()),
            "name a readable file, or `-` for standard input",
        )
    })?;
    serde_json::from_str(&text).map_err(|error| {
        Error::refused(
            format!("{}: is not JSON: {error}", path.display()),
            "correct the file at that line and column",
        )
    })
}

pub(crate) async fn request(
    command: Request,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let Request::Show { id } = command;
    let request = client
        .get(&format!("/v1/requests/{}", encode_segment(&id)))
        .await?;
    output.show(&request, || {
        let columns = [
            ("request", "/id"),
            ("team", "/team"),
            ("state", "/state"),
            ("outcome", "/outcome"),
        ];
        print_table(std::slice::from_ref(&request), &columns);
    });
    Ok(())
}

pub(crate) async fn log_level(level: &str, client: &Client, output: &Output) -> Result<(), Error> {
    let body = json!({"level": level});
    let answer = client
        .call(Method::PUT, "/v1/log-level", None, &body)
        .await?;
    output.show(&answer, || {
        let level = answer["level"].as_str().unwrap_or_default();
        anstream::println!("the log level is {level} until the daemon restarts");
    });
    Ok(())
}

/// Percent-encodes a name as one segment of a URL path.
fn encode_segment(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, NON_ALPHANUMERIC)
}
