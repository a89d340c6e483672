//! The contract of the object API, tested one fault at a time against a server that fails on demand.

mod fake;

use std::time::Duration;

use bytes::Bytes;
use fake::{Fake, Fault};
use jaystand_platform::{Client, Error, Expected, HostState, MAX_VALUE_BYTES, Settings};
use prometheus::Registry;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(30);

/// Returns a client whose timeouts are short only if one of the faults leaves a call without an answer.
fn client(fake: &Fake, faults: &[Fault], registry: &Registry) -> Client {
    let silent = faults
        .iter()
        .any(|fault| matches!(fault, Fault::Silent | Fault::SlowBody));
    let answer_timeout = if silent { SHORT_TIMEOUT } else { LONG_TIMEOUT };
    let mut settings = Settings::new(fake.address, 1000.0);
    settings.connect_timeout = if silent {
        Duration::from_secs(1)
    } else {
        LONG_TIMEOUT
    };
    settings.call_timeout = answer_timeout;
    settings.watch_timeout = if silent {
        Duration::from_secs(1)
    } else {
        LONG_TIMEOUT
    };
    settings.watch_margin = answer_timeout;
    settings.first_backoff = Duration::from_millis(1);
    Client::new(settings, registry).unwrap()
}

fn value() -> Bytes {
    Bytes::from_static(b"v")
}

fn call_counts(registry: &Registry) -> Vec<String> {
    let mut calls = Vec::new();
    for family in registry.gather() {
        assert_eq!(family.name(), "jaystand_platform_calls_total");
        for metric in family.get_metric() {
            let labels: Vec<&str> = metric
                .get_label()
                .iter()
                .map(prometheus::proto::LabelPair::value)
                .collect();
            calls.push(format!(
                "{} {}",
                labels.join(" "),
                metric.get_counter().value()
            ));
        }
    }
    calls
}

const UNAVAILABLE: Error = Error::Unavailable {
    retry_after: Some(Duration::from_secs(1)),
};

/// Guards against a write that is reported as without effect although it may have taken effect, and against a client
/// that sends a write twice.
#[tokio::test]
async fn write_faults_map_to_classes_and_are_sent_once() {
    let table = [
        (Fault::None, Ok(7), true),
        (Fault::Outage, Err(UNAVAILABLE), false),
        (Fault::ServerError, Err(Error::Lost), false),
        (Fault::Denied, Err(Error::Denied), false),
        (Fault::LostBefore, Err(Error::Lost), false),
        (Fault::LostAfter, Err(Error::Lost), true),
        (Fault::Silent, Err(Error::Lost), false),
        (Fault::CutBody, Err(Error::Lost), true),
        (Fault::SlowBody, Err(Error::Lost), true),
        (Fault::GarbageAnswer, Err(Error::Lost), true),
        (Fault::WeakTag, Err(Error::Lost), true),
        (Fault::NoTag, Err(Error::Lost), true),
        (Fault::Oversized, Err(Error::Lost), true),
    ];
    for (fault, expected, effect) in table {
        let fake = Fake::start([fault]).await;
        let client = client(&fake, &[fault], &Registry::new());
        let result = client.put("kind", "n", Expected::Absent, value()).await;
        assert_eq!(result, expected, "{fault:?}");
        let state = fake.state.lock();
        assert_eq!(
            state.objects.contains_key("/v1/objects/kind/n"),
            effect,
            "{fault:?}"
        );
        assert_eq!(state.requests.len(), 1, "{fault:?}");
    }
}

/// Guards against a read that fails on a transient fault without a retry, or that accepts a malformed answer.
#[tokio::test]
async fn read_faults_are_retried_or_reported() {
    let table = [
        (Fault::None, Ok(7), 1),
        (Fault::ServerError, Ok(7), 2),
        (Fault::LostBefore, Ok(7), 2),
        (Fault::Silent, Ok(7), 2),
        (Fault::CutBody, Ok(7), 2),
        (Fault::SlowBody, Ok(7), 2),
        (Fault::GarbageAnswer, Ok(7), 2),
        (Fault::Denied, Err(Error::Denied), 1),
        (Fault::WeakTag, Err(Error::Malformed), 1),
        (Fault::NoTag, Err(Error::Malformed), 1),
        (Fault::Oversized, Err(Error::Malformed), 1),
    ];
    for (fault, expected, sent) in table {
        let fake = Fake::start([fault]).await;
        let path = "/v1/objects/kind/n".to_owned();
        fake.state.lock().objects.insert(path, (7, b"v".to_vec()));
        let client = client(&fake, &[fault], &Registry::new());
        let result = client.get("kind", "n").await;
        let version = result.map(|object| object.unwrap().version);
        assert_eq!(version, expected, "{fault:?}");
        assert_eq!(fake.state.lock().requests.len(), sent, "{fault:?}");
    }
}

/// Guards against a write that overwrites a newer value, and against an answer with an old entity tag that is accepted
/// as the new version.
#[tokio::test]
async fn conditions_are_enforced() {
    let fake = Fake::start([]).await;
    let client = client(&fake, &[], &Registry::new());
    assert_eq!(client.get("kind", "n").await, Ok(None));
    assert_eq!(
        client.put("kind", "n", Expected::Version(1), value()).await,
        Err(Error::Conflict)
    );
    assert_eq!(
        client.put("kind", "n", Expected::Absent, value()).await,
        Ok(7)
    );
    assert_eq!(
        client.put("kind", "n", Expected::Absent, value()).await,
        Err(Error::Conflict)
    );
    assert_eq!(
        client.put("kind", "n", Expected::Version(7), value()).await,
        Ok(8)
    );
    assert_eq!(client.delete("kind", "n", 7).await, Err(Error::Conflict));
    fake.state.lock().faults.push_back(Fault::StaleTag);
    assert_eq!(
        client.put("kind", "n", Expected::Version(8), value()).await,
        Err(Error::Lost)
    );
    assert_eq!(client.delete("kind", "n", 9).await, Ok(()));
    assert_eq!(client.get("kind", "../n").await, Err(Error::Malformed));
}

/// Guards against an unnoticed change in the format of lists, watches and host lists, and in their paths and metrics.
#[tokio::test]
async fn listings_are_parsed_and_garbage_is_refused() {
    let fake = Fake::start([]).await;
    let registry = Registry::new();
    let client = client(&fake, &[], &registry);
    assert_eq!(client.list("kind").await.unwrap().objects[0].version, 7);
    let changes = client.watch("kind", 4).await.unwrap();
    assert_eq!((changes.revision, changes.events[0].version), (9, 8));
    assert_eq!(client.hosts().await.unwrap()[0].state, HostState::Leaving);
    fake.state.lock().faults.push_back(Fault::GarbageBody);
    assert_eq!(client.list("kind").await, Err(Error::Malformed));
    let line = "GET /v1/objects/kind?watch=4&timeout_s=60".to_owned();
    assert_eq!(fake.state.lock().requests[1].1, line);
    let expected = ["hosts ok 1", "list malformed 1", "list ok 1", "watch ok 1"];
    assert_eq!(call_counts(&registry), expected);
}

/// Guards against calls and watches that reuse a connection that has gone silent, and time out again.
#[tokio::test]
async fn a_silent_connection_is_not_reused() {
    let faults = [
        Fault::None,
        Fault::Silent,
        Fault::None,
        Fault::None,
        Fault::Silent,
    ];
    let fake = Fake::start(faults).await;
    let client = client(&fake, &faults, &Registry::new());
    assert_eq!(client.list("kind").await.unwrap().revision, 9);
    assert_eq!(client.list("kind").await.unwrap().revision, 9);
    assert_eq!(client.watch("kind", 0).await.unwrap().revision, 9);
    assert_eq!(client.watch("kind", 0).await.unwrap().revision, 9);
    let state = fake.state.lock();
    let connections: Vec<usize> = state
        .requests
        .iter()
        .map(|(connection, _)| *connection)
        .collect();
    assert_eq!(connections, [1, 1, 2, 3, 3, 4]);
}

/// Guards against a client that sends a value over the platform's limit, or more calls than its budget allows.
#[tokio::test]
async fn oversized_and_over_budget_calls_are_not_sent() {
    let fake = Fake::start([]).await;
    let registry = Registry::new();
    let mut settings = Settings::new(fake.address, 1.0);
    settings.call_timeout = LONG_TIMEOUT;
    let client = Client::new(settings, &registry).unwrap();
    let oversized = Bytes::from(vec![0; MAX_VALUE_BYTES + 1]);
    let refused = client.put("kind", "n", Expected::Absent, oversized).await;
    assert_eq!(refused, Err(Error::TooLarge));
    let mut results = Vec::new();
    for _ in 0..50 {
        results.push(client.put("kind", "n", Expected::Version(1), value()).await);
    }
    assert!(results.contains(&Err(Error::Budget)));
    let sent = results
        .iter()
        .filter(|result| **result == Err(Error::Conflict))
        .count();
    assert_eq!(fake.state.lock().requests.len(), sent);
}

/// Guards against a write that is reported as possibly received although no connection could be opened.
#[tokio::test]
async fn a_refused_connection_is_unavailable() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::new(Settings::new(address, 100.0), &Registry::new()).unwrap();
    let result = client.put("kind", "n", Expected::Absent, value()).await;
    assert_eq!(result, Err(Error::Unavailable { retry_after: None }));
}
