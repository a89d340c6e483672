//! Tests of requests that must run at most once. Whatever fails, the ledger executes an order at most once, and no
//! caller gets a wrong outcome.

mod support;

use std::time::Duration;

use jaystand_control::config::Answer;
use jaystand_daemon::watch;
use jaystand_platform::Client;
use jaystand_sheet::ServerKind;
use jaystand_standin::{ledger, platform};
use support::{Daemon, Reply, TIMEOUT, server};

/// Daemons in front of a ledger that executes orders.
struct Deployment {
    platform: platform::Handle,
    ledger: ledger::Handle,
    daemons: Vec<Daemon>,
}

impl Deployment {
    /// Starts two daemons that share a platform and a ledger. Their configuration comes from the platform.
    async fn start(latency: Duration) -> Self {
        let platform = platform::start(platform::Settings::default()).expect("a platform");
        let ledger = ledger::start(ledger::Settings {
            latency,
            ..ledger::Settings::default()
        });
        let ledger = ledger.expect("a ledger");
        let document = support::document(vec![
            server(
                "e0",
                ([127, 0, 0, 1], 1).into(),
                ServerKind::Engine,
                "model",
            ),
            server("jobs-0", ledger.address(), ServerKind::Service, "jobs"),
        ]);
        let settings = jaystand_platform::Settings::new(platform.address(), 1000.0);
        let client = Client::new(settings, &prometheus::Registry::new()).expect("a client");
        let accepted = watch::accept(&client, &document).await;
        assert!(matches!(accepted, Answer::Accepted(_)), "{accepted:?}");
        let mut daemons = Vec::new();
        for _ in 0..2 {
            let daemon = Daemon::start_with(document.clone(), |raw| {
                raw.bootstrap.clear();
                raw.platform.address = platform.address().to_string();
                raw.platform.budget_per_s = 1000.0;
            });
            daemons.push(daemon.await);
        }
        Self {
            platform,
            ledger,
            daemons,
        }
    }

    async fn order(&self, daemon: usize, key: &str, body: &'static str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.daemons[daemon]
            .post("/services/order", &headers, body)
            .await
    }

    fn executions(&self, key: &str) -> u32 {
        let executions = self.ledger.standin().executions();
        executions.get(key).copied().unwrap_or_default()
    }

    async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }
}

fn assert_outcome(reply: &Reply, status: u16, outcome: &str) {
    assert_eq!(reply.status, status, "{}", reply.text());
    assert_eq!(reply.header("x-outcome"), outcome, "{}", reply.text());
}

/// Guards against a repeat through another daemon that runs the order again or gets another answer than the first, and
/// against a key that is accepted with another body.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_through_another_daemon_gets_the_first_answer() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    let first = deployment.order(0, "crate-1", "glass").await;
    assert_outcome(&first, 200, "done");
    assert_eq!(first.header("idempotency-key"), "crate-1");
    // The result is recorded after the answer was sent. Until then a repeat is told to try again later.
    let recorded = async {
        loop {
            let repeat = deployment.order(1, "crate-1", "glass").await;
            if repeat.status == 200 {
                return repeat;
            }
            assert_outcome(&repeat, 409, "unknown");
            assert!(!repeat.header("retry-after").is_empty());
        }
    };
    let repeat = tokio::time::timeout(TIMEOUT, recorded)
        .await
        .expect("in time");
    assert_eq!(repeat.text(), first.text());
    assert_outcome(&repeat, 200, "done");
    assert_outcome(
        &deployment.order(1, "crate-1", "sealant").await,
        422,
        "not_run",
    );
    assert_eq!(deployment.executions("crate-1"), 1);
    deployment.stop().await;
}

/// Guards against an order without a key that runs without a claim, or whose caller does not learn the generated key.
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_key_is_generated_and_returned() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    let reply = deployment.daemons[0]
        .post("/services/order", &[], "glass")
        .await;
    assert_outcome(&reply, 200, "done");
    let key = reply.header("idempotency-key");
    assert_eq!(key.len(), 32, "{key}");
    assert_eq!(deployment.executions(key), 1);
    deployment.stop().await;
}

/// Guards against an order that runs twice because two daemons get it at the same time and both find its key unclaimed.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_sends_of_one_key_execute_once() {
    let deployment = Deployment::start(Duration::from_millis(20)).await;
    for round in 0..10 {
        let key = format!("race-{round}");
        let (a, b) = tokio::join!(
            deployment.order(0, &key, "glass"),
            deployment.order(1, &key, "glass")
        );
        assert_eq!(deployment.executions(&key), 1);
        for reply in [&a, &b] {
            match reply.status.as_u16() {
                200 => assert_outcome(reply, 200, "done"),
                // The other daemon has the claim, or the claim was not decided in time.
                409 => assert_outcome(reply, 409, "unknown"),
                // The other request with the key may have run.
                _ => assert_outcome(reply, 503, "unknown"),
            }
        }
        assert!(a.status == 200 || b.status == 200);
    }
    deployment.stop().await;
}

/// Guards against an order that is sent without a claim while the platform is down, and against an outage that also
/// stops requests whose backend server checks the key itself.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_only_checked_orders_are_run() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    deployment.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    let refused = deployment.order(0, "crate-2", "glass").await;
    assert_outcome(&refused, 503, "unknown");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(deployment.executions("crate-2"), 0);
    let without_key = deployment.daemons[0]
        .post("/services/order", &[], "glass")
        .await;
    assert_outcome(&without_key, 503, "not_run");
    assert!(!without_key.header("retry-after").is_empty());
    assert!(deployment.ledger.records().is_empty());
    let headers = [("idempotency-key", "crate-3")];
    let checked = deployment.daemons[0]
        .post("/services/checked", &headers, "glass")
        .await;
    assert_outcome(&checked, 200, "done");
    deployment.platform.set_faults(platform::Faults::default());
    let executed = async {
        loop {
            let reply = deployment.order(1, "crate-2", "glass").await;
            if reply.status == 200 {
                return reply;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, executed)
        .await
        .expect("in time");
    assert_eq!(deployment.executions("crate-2"), 1);
    deployment.stop().await;
}

/// Guards against `not_run` for the repeat of an order that ran, when the platform is down and the claim cannot be
/// read. The caller would place the order anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_cannot_read_the_claim_is_unknown() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    let first = deployment.order(0, "crate-5", "glass").await;
    assert_outcome(&first, 200, "done");
    deployment.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    let repeat = deployment.order(1, "crate-5", "glass").await;
    assert_outcome(&repeat, 503, "unknown");
    assert!(!repeat.header("retry-after").is_empty());
    let message = repeat.json()["error"]["message"].to_string();
    for part in [
        "this request was not run",
        "an earlier one with the same idempotency key may have been",
        "repeat it with the same key",
    ] {
        assert!(message.contains(part), "{message}");
    }
    let without_key = deployment.daemons[1]
        .post("/services/order", &[], "glass")
        .await;
    assert_outcome(&without_key, 503, "not_run");
    assert!(!without_key.header("retry-after").is_empty());
    assert!(
        !without_key.text().contains("may have been"),
        "{}",
        without_key.text()
    );
    deployment.platform.set_faults(platform::Faults::default());
    let answered = async {
        loop {
            let reply = deployment.order(1, "crate-5", "glass").await;
            if reply.status == 200 {
                return reply;
            }
            assert_outcome(&reply, 503, "unknown");
        }
    };
    let answer = tokio::time::timeout(TIMEOUT, answered)
        .await
        .expect("in time");
    assert_eq!(answer.text(), first.text());
    assert_eq!(deployment.executions("crate-5"), 1);
    deployment.stop().await;
}

/// Guards against a key that stays claimed after a refusal which proves that nothing ran. The order could never be
/// placed.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_order_can_be_sent_again() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    deployment.ledger.set_faults(ledger::Faults {
        refuse: true,
        ..ledger::Faults::default()
    });
    let refused = deployment.order(0, "crate-4", "glass").await;
    assert!(refused.status.is_server_error(), "{}", refused.text());
    assert_eq!(refused.header("x-outcome"), "not_run");
    deployment.ledger.set_faults(ledger::Faults::default());
    let executed = async {
        loop {
            let reply = deployment.order(1, "crate-4", "glass").await;
            if reply.status == 200 {
                return;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, executed)
        .await
        .expect("in time");
    assert_eq!(deployment.executions("crate-4"), 1);
    deployment.stop().await;
}

/// Guards against an order that is sent again after its answer was lost. Once a byte was sent, the order may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_for_good() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    for (key, faults) in [
        (
            "lost-1",
            ledger::Faults {
                drop_after_execution: true,
                ..ledger::Faults::default()
            },
        ),
        (
            "lost-2",
            ledger::Faults {
                wrong_request_id: true,
                ..ledger::Faults::default()
            },
        ),
    ] {
        deployment.ledger.set_faults(faults);
        let lost = deployment.order(0, key, "glass").await;
        assert!(lost.status.is_server_error(), "{}", lost.text());
        assert_eq!(lost.header("x-outcome"), "unknown");
        deployment.ledger.set_faults(ledger::Faults::default());
        for daemon in [0, 1, 0] {
            assert_outcome(
                &deployment.order(daemon, key, "glass").await,
                409,
                "unknown",
            );
        }
        assert_eq!(deployment.executions(key), 1, "{key}");
    }
    deployment.stop().await;
}

/// Guards against a result that is not recorded because the caller went away before the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_caller_went_away_is_recorded() {
    let deployment = Deployment::start(Duration::from_millis(300)).await;
    {
        let order = deployment.order(0, "left", "glass");
        tokio::pin!(order);
        let sent = async {
            while deployment.claim_shards() == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::select! {
            _ = &mut order => panic!("the ledger takes longer"),
            () = sent => {}
        }
    }
    let recorded = async {
        loop {
            let reply = deployment.order(1, "left", "glass").await;
            if reply.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, recorded)
        .await
        .expect("in time");
    assert_eq!(deployment.executions("left"), 1);
    deployment.stop().await;
}

/// Guards against an order that loses its answer because it takes longer than the learned deadline for a first answer,
/// which is about a second.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_order_gets_its_answer() {
    let deployment = Deployment::start(Duration::from_millis(2500)).await;
    assert_outcome(&deployment.order(0, "slow", "glass").await, 200, "done");
    assert_eq!(deployment.executions("slow"), 1);
    deployment.stop().await;
}

/// Guards against an order that is reported as `not_run`, or sent again, after the ledger took it and did not answer
/// before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_ledger_goes_silent_is_unknown_at_its_deadline() {
    let deployment = Deployment::start(Duration::from_millis(2)).await;
    deployment.ledger.set_faults(ledger::Faults {
        silent: true,
        ..ledger::Faults::default()
    });
    let headers = [("idempotency-key", "silent")];
    let reply = deployment.daemons[0]
        .post("/services/brief", &headers, "glass")
        .await;
    assert!(reply.status.is_server_error(), "{}", reply.text());
    assert_eq!(reply.header("x-outcome"), "unknown", "{}", reply.text());
    deployment.ledger.set_faults(ledger::Faults::default());
    let repeat = deployment.daemons[1]
        .post("/services/brief", &headers, "glass")
        .await;
    assert_outcome(&repeat, 409, "unknown");
    deployment.stop().await;
}

impl Deployment {
    /// Returns the number of claim shards that exist.
    fn claim_shards(&self) -> usize {
        let shards = 0..64;
        shards
            .filter(|shard| {
                let name = shard.to_string();
                self.platform.standin().object("claim", &name).is_some()
            })
            .count()
    }
}
