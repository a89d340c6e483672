//! Tests of the admin API of whole daemons, with the platform stand-in.

mod support;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use jaystand_daemon::settings::Raw;
use jaystand_sheet::Document;
use jaystand_standin::{engine, platform, service};
use serde_json::{Value, json};
use support::{
    Daemon, Reply, TIMEOUT, chat, read_reply, standard_document, start_engine, start_service,
};

const ADMIN_KEY: &str = "admin-key";

struct Deployment {
    platform: platform::Handle,
    _engines: [engine::Handle; 2],
    _service: service::Handle,
    document: Document,
    daemon: Daemon,
}

async fn start() -> Deployment {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let engines = [start_engine(1), start_engine(2)];
    let service = start_service();
    let document = standard_document(&[&engines[0], &engines[1]], &service);
    let stored = serde_json::to_vec(&document).expect("a document");
    platform.standin().set_object("config", "current", stored);
    let address = platform.address().to_string();
    let daemon = Daemon::start_with(document.clone(), |raw: &mut Raw| {
        raw.platform.address.clone_from(&address);
        raw.platform.budget_per_s = 1_000.0;
        raw.admin.key = ADMIN_KEY.into();
    });
    let daemon = daemon.await;
    Deployment {
        platform,
        _engines: engines,
        _service: service,
        document,
        daemon,
    }
}

async fn send(
    admin: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Reply {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{admin}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("a request");
    let sent = tokio::time::timeout(TIMEOUT, client.request(request));
    read_reply(sent.await.expect("in time").expect("an answer")).await
}

impl Deployment {
    async fn call(&self, method: Method, path: &str, body: &Value) -> Reply {
        self.call_with(method, path, &[], body).await
    }

    async fn call_with(
        &self,
        method: Method,
        path: &str,
        extra_headers: &[(&str, &str)],
        body: &Value,
    ) -> Reply {
        let key = format!("Bearer {ADMIN_KEY}");
        let headers = [&[("authorization", key.as_str())], extra_headers].concat();
        send(self.daemon.admin, method, path, &headers, body.to_string()).await
    }

    async fn get(&self, path: &str) -> Value {
        let reply = self.call(Method::GET, path, &Value::Null).await;
        assert_eq!(reply.status, 200, "{path}: {}", reply.text());
        reply.json()
    }

    fn proposal(&self, author: &str, row: &str) -> Value {
        json!({
            "sheet": format!("{}{row}\n", self.document.sheet),
            "directory": self.document.directory,
            "author": author,
        })
    }
}

/// Sheet rows that the tests add to the standard document.
const ROW: &str = "blue,summary,model,normal,repeatable,*,,,,,";
const OTHER_ROW: &str = "blue,digest,model,normal,repeatable,*,,,,,";

/// Guards against an admin API that answers calls without the key, and against a refusal that does not say how to set
/// the key.
#[tokio::test]
async fn calls_without_the_key_are_refused() {
    let deployment = start().await;
    let admin = deployment.daemon.admin;
    for headers in [&[][..], &[("authorization", "Bearer wrong")][..]] {
        for path in ["/v1/status", "/v1/config", "/v1/nothing"] {
            let reply = send(admin, Method::GET, path, headers, "").await;
            assert_eq!(reply.status, 401);
            assert_eq!(reply.json()["error"]["code"], "invalid_admin_key");
        }
    }
    for path in ["/livez", "/readyz", "/metrics"] {
        assert_eq!(deployment.daemon.admin(path).await.status, 200);
    }
    let open = Daemon::start(deployment.document.clone()).await;
    let key = [("authorization", "Bearer ")];
    let reply = send(open.admin, Method::GET, "/v1/status", &key, "").await;
    assert_eq!(reply.status, 403);
    assert_eq!(reply.json()["error"]["code"], "no_admin_key");
    let message = reply.json()["error"]["message"].to_string();
    assert!(message.contains("[admin] key"), "{message}");
}

/// Guards against the second of two concurrent operators silently undoing the change of the first.
#[tokio::test]
async fn the_second_of_two_operators_gets_the_difference() {
    let deployment = start().await;
    let if_match_first = [("if-match", "\"1\"")];
    let first = deployment.proposal("ana", ROW);
    let second = deployment.proposal("ben", OTHER_ROW);
    let (a, b) = tokio::join!(
        deployment.call_with(Method::PUT, "/v1/config", &if_match_first, &first),
        deployment.call_with(Method::PUT, "/v1/config", &if_match_first, &second),
    );
    let (won, lost) = if a.status == 200 { (a, b) } else { (b, a) };
    assert_eq!(won.status, 200, "{}", won.text());
    assert_eq!(won.header("etag"), "\"2\"");
    assert_eq!(lost.status, 409, "{}", lost.text());
    let lost = lost.json();
    assert_eq!(lost["error"]["code"], "conflict");
    assert_eq!(lost["version"], 2);
    let theirs = lost["theirs"].to_string();
    let yours = lost["yours"].to_string();
    let winner = deployment.get("/v1/config").await["author"].clone();
    let (in_force, wanted) = if winner == "ana" {
        ("rule blue / summary", "rule blue / digest")
    } else {
        ("rule blue / digest", "rule blue / summary")
    };
    assert!(
        theirs.contains(in_force) && !theirs.contains(wanted),
        "{theirs}"
    );
    assert!(yours.contains(wanted), "{yours}");
    let status = deployment.get("/v1/status").await;
    assert_eq!(status["config"]["version"], 2);
    assert_eq!(status["in_force_everywhere"], true, "{status}");
    let own = &status["hosts"][0]["config"];
    assert_eq!(own["hash"], status["config"]["hash"], "{status}");
}

/// Guards against an accepted change that does not name the version it replaces, and against a faulty sheet that takes
/// effect in part.
#[tokio::test]
async fn a_change_without_predecessor_or_with_faults_is_refused() {
    let deployment = start().await;
    let good = deployment.proposal("ana", ROW);
    let put = async |headers: &[(&str, &str)], body: &Value| {
        let call = deployment.call_with(Method::PUT, "/v1/config", headers, body);
        let reply = call.await;
        (reply.status.as_u16(), reply.json())
    };
    assert_eq!(put(&[], &good).await.0, 428);
    assert_eq!(put(&[("if-match", "soon")], &good).await.0, 400);
    let bad = deployment.proposal("ana", "green,x,model,soon,repeatable,*,-1,,,,");
    let (status, body) = put(&[("if-match", "\"1\"")], &bad).await;
    assert_eq!(status, 422);
    let faults = body["faults"].as_array().expect("faults");
    assert_eq!(faults.len(), 3, "{body}");
    for fault in faults {
        assert_eq!(fault["row"], 8, "{fault}");
        assert_ne!(fault["remedy"], "", "{fault}");
    }
    let check = deployment
        .call(Method::POST, "/v1/config/check", &bad)
        .await;
    assert_eq!(check.status, 422);
    let check = deployment
        .call(Method::POST, "/v1/config/check", &good)
        .await;
    assert_eq!(check.json()["rules"], 7);
    let diff = deployment
        .call(Method::POST, "/v1/config/diff", &good)
        .await;
    assert!(
        diff.text().contains("+ rule blue / summary"),
        "{}",
        diff.text()
    );
    assert_eq!(deployment.get("/v1/config").await["version"], 1);
}

/// Guards against a rollback that reverts the version number, and against a history without the version rolled back.
#[tokio::test]
async fn a_rollback_is_a_new_version_with_old_content() {
    let deployment = start().await;
    let if_match_first = [("if-match", "\"1\"")];
    let changed = deployment.proposal("ana", ROW);
    let reply = deployment.call_with(Method::PUT, "/v1/config", &if_match_first, &changed);
    assert_eq!(reply.await.status, 200);
    let back = json!({"version": 1, "author": "ben", "note": "summary is too slow"});
    let rollback = "/v1/config/rollback";
    let stale = deployment.call_with(Method::POST, rollback, &if_match_first, &back);
    assert_eq!(stale.await.status, 409);
    let reply = deployment.call(Method::POST, rollback, &back).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let config = deployment.get("/v1/config").await;
    assert_eq!(config["version"], 3);
    assert_eq!(config["sheet"], deployment.document.sheet);
    assert_eq!(config["note"], "summary is too slow");
    let history = deployment.get("/v1/config/history").await;
    let versions = history["versions"].as_array().expect("versions");
    let numbers: Vec<u64> = versions
        .iter()
        .filter_map(|entry| entry["version"].as_u64())
        .collect();
    assert_eq!(numbers, [3, 2, 1]);
    assert_eq!(versions[1]["author"], "ana");
    let old = deployment.get("/v1/config/history/2").await;
    assert_eq!(old["sheet"], changed["sheet"]);
    let unknown_version = json!({"version": 9});
    let standin = deployment.platform.standin();
    standin.set_object("config-history", "2", "{}");
    let history = deployment.get("/v1/config/history").await;
    assert_eq!(history["versions"][1], json!({"version": 2}));
    let unknown = deployment
        .call(Method::POST, rollback, &unknown_version)
        .await;
    assert_eq!(unknown.status, 404);
}

/// Guards against reads that fail while the platform is down, and against a change that is not reported as impossible
/// for now.
#[tokio::test]
async fn without_the_platform_reads_work_and_changes_are_refused() {
    let deployment = start().await;
    deployment.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    assert_eq!(deployment.get("/v1/config").await["version"], 1);
    let if_match_first = [("if-match", "\"1\"")];
    let changed = deployment.proposal("ana", ROW);
    let reply = deployment.call_with(Method::PUT, "/v1/config", &if_match_first, &changed);
    let reply = reply.await;
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(reply.json()["error"]["code"], "platform_unreachable");
    assert_eq!(reply.header("retry-after"), "1");
}

/// Guards against a drained server that still gets work, and against one that gets none after its return.
#[tokio::test]
async fn a_drained_server_gets_no_work_until_it_is_undrained() {
    let deployment = start().await;
    let drain = async |verb: &str| {
        let path = format!("/v1/servers/e0/{verb}");
        let reply = deployment.call(Method::POST, &path, &Value::Null).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        reply.json()
    };
    assert_eq!(drain("drain").await["drained"], true);
    wait_until(async || deployment.get("/v1/servers").await["servers"][1]["leaving"] == true).await;
    // The mark wakes a task that passes it to the router, so the effect is not immediate.
    wait_until(async || {
        served_by(&deployment, 20)
            .await
            .iter()
            .all(|server| server == "e1")
    })
    .await;
    assert_eq!(drain("undrain").await["drained"], false);
    wait_until(async || {
        served_by(&deployment, 20)
            .await
            .iter()
            .any(|server| server == "e0")
    })
    .await;
    let encoded = deployment.call(Method::POST, "/v1/servers/e%30/undrain", &Value::Null);
    assert_eq!(encoded.await.json()["name"], "e0");
    let path = "/v1/servers/e9/drain";
    let unknown = deployment.call(Method::POST, path, &Value::Null).await;
    assert_eq!(unknown.json()["error"]["code"], "unknown_server");
}

async fn served_by(deployment: &Deployment, calls: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..calls {
        let prompt = format!("prompt {}", rand::random::<u64>());
        let reply = deployment.daemon.chat(false, &prompt, 1).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        names.push(reply.header("x-served-by").to_owned());
    }
    names
}

async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("in time");
}

/// Guards against an explanation that differs from the router's choice, and against outcomes that are not shown.
#[tokio::test]
async fn a_request_is_explained_and_its_outcome_is_shown() {
    let deployment = start().await;
    let request: Value = serde_json::from_str(&chat(false, "what is it", 1)).expect("JSON");
    let question = json!({"team": "red", "kind": "triage", "request": request});
    let reply = deployment
        .call(Method::POST, "/v1/explain", &question)
        .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let explained = reply.json();
    let candidates = explained["candidates"].as_array().expect("candidates");
    assert_eq!(candidates.len(), 2, "{explained}");
    let scores: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| candidate["score_ms"].as_f64())
        .collect();
    assert!(scores.is_sorted(), "{explained}");
    let reply = deployment.daemon.chat(false, "what is it", 1).await;
    assert_eq!(candidates[0]["server"], reply.header("x-served-by"));
    let path = format!("/v1/requests/{}", reply.header("x-request-id"));
    let shown = deployment.get(&path).await;
    assert_eq!(shown["team"], "red");
    assert_eq!(shown["outcome"], "done");
    let wrong = json!({"team": "red", "kind": "nothing", "request": request});
    let reply = deployment.call(Method::POST, "/v1/explain", &wrong).await;
    assert_eq!(reply.json()["error"]["code"], "unknown_kind");
}

/// Guards against malformed calls that are accepted or get the wrong error status.
#[tokio::test]
async fn malformed_calls_are_refused() {
    let deployment = start().await;
    let cases = [
        (Method::GET, "/v1/nothing", json!(null), 404),
        (Method::DELETE, "/v1/config", json!(null), 405),
        (Method::POST, "/v1/config/check", json!({"sheet": 1}), 400),
        (Method::GET, "/v1/config/history?limit=0", json!(null), 400),
        (Method::GET, "/v1/requests/xyz", json!(null), 400),
        (
            Method::GET,
            "/v1/requests/0123456789abcdef",
            json!(null),
            404,
        ),
        (Method::PUT, "/v1/log-level", json!({"level": "loud"}), 400),
        (
            Method::POST,
            "/v1/config/check",
            json!("x".repeat(9 << 20)),
            413,
        ),
    ];
    for (method, path, body, status) in cases {
        let reply = deployment.call(method.clone(), path, &body).await;
        assert_eq!(reply.status, status, "{method} {path}");
        assert_ne!(reply.json()["error"]["message"], "", "{method} {path}");
    }
}

/// Guards against a status that reports a sheet for a host that does not have it, and against marks and sheets that do
/// not spread beyond the host that was called.
#[tokio::test]
async fn other_hosts_follow_and_are_shown() {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let engines = [start_engine(1), start_engine(2)];
    let service = start_service();
    let document = standard_document(&[&engines[0], &engines[1]], &service);
    let stored = serde_json::to_vec(&document).expect("a document");
    platform.standin().set_object("config", "current", stored);
    let ports = [(); 2].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    let seeds = ports.map(|port| port.local_addr().expect("bound").to_string());
    let mut daemons = Vec::new();
    for (index, own) in seeds.iter().enumerate() {
        let change = |raw: &mut Raw| {
            raw.host.name = format!("host-{index}");
            raw.platform.address = platform.address().to_string();
            raw.platform.budget_per_s = 1_000.0;
            raw.listen.peers.clone_from(own);
            raw.peers.seeds = seeds.to_vec();
            raw.peers.key = "shared".into();
            raw.admin.key = ADMIN_KEY.into();
        };
        daemons.push(Daemon::start_with(document.clone(), change).await);
    }
    let second = daemons.pop().expect("two daemons");
    let first = Deployment {
        platform,
        _engines: engines,
        _service: service,
        document,
        daemon: daemons.pop().expect("two daemons"),
    };
    let if_match_first = [("if-match", "\"1\"")];
    let changed = first.proposal("ana", ROW);
    let reply = first.call_with(Method::PUT, "/v1/config", &if_match_first, &changed);
    assert_eq!(reply.await.status, 200);
    wait_until(async || {
        let status = first.get("/v1/status").await;
        status["in_force_everywhere"] == true && status["hosts"][1]["config"]["version"] == 2
    })
    .await;
    let key = format!("Bearer {ADMIN_KEY}");
    let headers = [("authorization", key.as_str())];
    let get_from_second = async |path: &str| {
        let reply = send(second.admin, Method::GET, path, &headers, "").await;
        assert_eq!(reply.status, 200, "{path}: {}", reply.text());
        reply.json()
    };
    assert_eq!(get_from_second("/v1/status").await["config"]["version"], 2);
    let drained = first.call(Method::POST, "/v1/servers/e0/drain", &Value::Null);
    assert_eq!(drained.await.status, 200);
    wait_until(async || get_from_second("/v1/servers").await["servers"][1]["drained"] == true)
        .await;
}
