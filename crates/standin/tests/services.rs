//! Tests of the plain service and the ledger.

mod common;

use std::time::Duration;

use common::Client;
use jaystand_standin::{ledger, service};

const ID: (&str, &str) = ("x-request-id", "0000000000000001");
const KEY: (&str, &str) = ("idempotency-key", "order-1");
const CALL: &str = "POST /services/orders/new";

/// Guards against an echo that loses the body or the id of the request.
#[tokio::test(start_paused = true)]
async fn the_service_echoes_body_and_request_id() {
    let handle = service::start(service::Settings::default()).unwrap();
    let mut client = Client::connect(&handle).await;
    let reply = client.call(CALL, &[ID], "two panes").await.unwrap();
    assert_eq!(
        (reply.body.as_str(), reply.header("x-request-id")),
        ("two panes", Some(ID.1))
    );
}

/// Guards against fault switches of the ledger that skip an execution or add one, or that return another reply than
/// their names say.
#[tokio::test(start_paused = true)]
async fn each_ledger_fault_has_the_documented_execution_count() {
    use ledger::Faults;
    let none = Faults::default();
    // Whether keys are checked; faults; `x-not-started` of the reply, if there is one; executions after two calls.
    let table = [
        (false, none.clone(), Some(None), 2),
        (true, none.clone(), Some(None), 1),
        (
            false,
            Faults {
                refuse: true,
                ..none.clone()
            },
            Some(Some("1")),
            0,
        ),
        (
            false,
            Faults {
                drop_after_execution: true,
                ..none.clone()
            },
            None,
            2,
        ),
        (
            false,
            Faults {
                silent: true,
                ..none.clone()
            },
            None,
            2,
        ),
        (
            false,
            Faults {
                slow_ms: 500,
                ..none
            },
            Some(None),
            2,
        ),
    ];
    for (checks_keys, faults, expected_proof, executions) in table {
        let settings = ledger::Settings {
            checks_keys,
            ..ledger::Settings::default()
        };
        let handle = ledger::start(settings).unwrap();
        handle.set_faults(faults.clone());
        let started = tokio::time::Instant::now();
        for _ in 0..2 {
            let mut client = Client::connect(&handle).await;
            let call = client.call(CALL, &[ID, KEY], "one crate");
            let reply = tokio::time::timeout(Duration::from_secs(60), call)
                .await
                .ok()
                .flatten();
            let proof = reply.as_ref().map(|reply| reply.header("x-not-started"));
            assert_eq!(proof, expected_proof, "{faults:?}");
        }
        let slow = started.elapsed() >= Duration::from_secs(1);
        assert_eq!(slow, faults.slow_ms > 0 || faults.silent, "{faults:?}");
        let counted = handle
            .standin()
            .executions()
            .get(KEY.1)
            .copied()
            .unwrap_or(0);
        assert_eq!(counted, executions, "{faults:?}");
    }
}
