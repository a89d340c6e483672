//! Tests of the platform stand-in's object API, watches, host list and faults.

mod common;

use std::time::Duration;

use common::Client;
use jaystand_standin::platform::{self, Call, Faults, Handle, Host, Settings};
use serde_json::Value;

const OBJECT: &str = "/v1/objects/config/current";

fn start_platform() -> Handle {
    platform::start(Settings::default()).unwrap()
}

async fn send_call(
    handle: &Handle,
    call: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<common::Reply> {
    let mut client = Client::connect(handle).await;
    client.call(call, headers, body.to_owned()).await
}

/// Guards against writes that ignore their condition or the size limit of values.
#[tokio::test(start_paused = true)]
async fn writes_take_effect_only_under_their_condition() {
    let handle = start_platform();
    let table = [
        ("PUT", ("if-match", "\"1\""), 412),
        ("PUT", ("if-none-match", "*"), 200),
        ("PUT", ("if-none-match", "*"), 412),
        ("PUT", ("if-match", "\"9\""), 412),
        ("PUT", ("if-match", "\"1\""), 200),
        ("PUT", ("if-match", "\"1\""), 412),
        ("PUT", ("if-match", "nonsense"), 400),
        ("DELETE", ("if-match", "\"1\""), 412),
        ("DELETE", ("if-match", "\"2\""), 200),
        ("DELETE", ("if-match", "\"2\""), 412),
    ];
    for (step, (method, condition, status)) in table.into_iter().enumerate() {
        let reply = send_call(
            &handle,
            &format!("{method} {OBJECT}"),
            &[condition],
            "value",
        )
        .await
        .unwrap();
        assert_eq!(reply.status.as_u16(), status, "step {step}");
    }
    assert_eq!(
        send_call(&handle, &format!("GET {OBJECT}"), &[], "")
            .await
            .unwrap()
            .status
            .as_u16(),
        404
    );
    let large = "x".repeat(1024 * 1024 + 1);
    let reply = send_call(
        &handle,
        &format!("PUT {OBJECT}"),
        &[("if-none-match", "*")],
        &large,
    )
    .await;
    assert_eq!(reply.unwrap().status.as_u16(), 413);
}

/// Guards against a write fault that returns another reply, or has another effect on the object, than its name says.
#[tokio::test(start_paused = true)]
async fn each_write_fault_has_the_reply_and_effect_of_its_name() {
    let none = Faults::default();
    let table = [
        (
            Faults {
                lost_before: 1.0,
                ..none.clone()
            },
            None,
            false,
        ),
        (
            Faults {
                lost_after: 1.0,
                ..none.clone()
            },
            None,
            true,
        ),
        (
            Faults {
                outage: true,
                ..none.clone()
            },
            Some(503),
            false,
        ),
        (
            Faults {
                slow_ms: 900,
                ..none.clone()
            },
            Some(200),
            true,
        ),
        (
            Faults {
                delayed_write_ms: 900,
                ..none.clone()
            },
            Some(200),
            true,
        ),
        (
            Faults {
                frozen: true,
                ..none
            },
            None,
            false,
        ),
    ];
    for (faults, status, effect) in table {
        let handle = start_platform();
        handle.set_faults(faults.clone());
        let put = format!("PUT {OBJECT}");
        let put = send_call(&handle, &put, &[("if-none-match", "*")], "value");
        let reply = tokio::time::timeout(Duration::from_secs(60), put)
            .await
            .ok()
            .flatten();
        assert_eq!(
            reply.map(|reply| reply.status.as_u16()),
            status,
            "{faults:?}"
        );
        assert_eq!(
            handle.standin().object("config", "current").is_some(),
            effect,
            "{faults:?}"
        );
    }
}

/// Guards against delayed writes that are cancelled when their caller disconnects: they must take effect later.
#[tokio::test(start_paused = true)]
async fn a_delayed_write_takes_effect_after_its_caller_has_gone() {
    let handle = start_platform();
    handle.set_faults(Faults {
        delayed_write_ms: 1000,
        ..Faults::default()
    });
    let put = format!("PUT {OBJECT}");
    let put = send_call(&handle, &put, &[("if-none-match", "*")], "value");
    assert!(
        tokio::time::timeout(Duration::from_millis(500), put)
            .await
            .is_err()
    );
    assert!(handle.standin().object("config", "current").is_none());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(handle.standin().object("config", "current").is_some());
}

/// Guards against random faults that differ between two runs with the same seed.
#[tokio::test(start_paused = true)]
async fn random_faults_follow_the_seed() {
    let mut runs = Vec::new();
    for seed in [1, 1, 2] {
        let handle = platform::start(Settings {
            seed,
            ..Settings::default()
        })
        .unwrap();
        handle.set_faults(Faults {
            lost_after: 0.5,
            ..Faults::default()
        });
        for _ in 0..32 {
            send_call(&handle, &format!("PUT {OBJECT}"), &[], "value").await;
        }
        runs.push(
            handle
                .records()
                .iter()
                .map(|record| record.lost)
                .collect::<Vec<_>>(),
        );
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

/// Guards against watches that miss a change, return on a change of another kind or count as several calls.
#[tokio::test(start_paused = true)]
async fn a_watch_waits_for_a_change_of_its_kind_and_counts_once() {
    let handle = start_platform();
    let writer = handle.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(3)).await;
        writer.standin().set_object("other", "a", "ignored");
        tokio::time::sleep(Duration::from_secs(3)).await;
        writer.standin().set_object("config", "current", "new");
    });
    let started = tokio::time::Instant::now();
    let watch = "GET /v1/objects/config?watch=0&timeout_s=20";
    let reply = send_call(&handle, watch, &[], "").await.unwrap();
    assert_eq!(started.elapsed().as_secs(), 6);
    let reply: Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(
        (&reply["revision"], &reply["events"][0]["value"]),
        (&2.into(), &"new".into())
    );
    let watch = "GET /v1/objects/config?watch=2&timeout_s=20";
    let reply = send_call(&handle, watch, &[], "").await.unwrap();
    assert_eq!(
        serde_json::from_str::<Value>(&reply.body).unwrap()["events"],
        serde_json::json!([])
    );
    assert_eq!(handle.standin().calls().get(&Call::Watch), Some(&2));
    handle.set_faults(Faults {
        silent_watch: true,
        ..Faults::default()
    });
    let silent = send_call(&handle, watch, &[], "");
    assert!(
        tokio::time::timeout(Duration::from_secs(600), silent)
            .await
            .is_err()
    );
}

/// Guards against a host list that shows changes without the configured lag.
#[tokio::test(start_paused = true)]
async fn the_host_list_lags() {
    let handle = start_platform();
    let host = |state: &str| Host {
        name: "entry-1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "a".to_owned(),
        state: state.to_owned(),
        role: "daemon".to_owned(),
    };
    let first_state = async || {
        let reply = send_call(&handle, "GET /v1/hosts", &[], "").await.unwrap();
        serde_json::from_str::<Value>(&reply.body).unwrap()["hosts"][0]["state"].clone()
    };
    handle.standin().set_hosts(vec![host("live")]);
    assert_eq!(first_state().await, "live");
    handle.standin().set_hosts(vec![host("leaving")]);
    assert_eq!(first_state().await, "live");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(first_state().await, "leaving");
}
