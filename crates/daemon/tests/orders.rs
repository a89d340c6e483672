//! Guards requests that must run at most once: whatever fails, the ledger executes an order once and no caller
//! is told the wrong outcome.

mod support;

use std::time::Duration;

use jaystand_control::config::Answer;
use jaystand_daemon::watch;
use jaystand_platform::Client;
use jaystand_sheet::ServerKind;
use jaystand_standin::{ledger, platform};
use support::{Daemon, Reply, TIMEOUT, server};

struct Shop {
    platform: platform::Handle,
    ledger: ledger::Handle,
    daemons: Vec<Daemon>,
}

impl Shop {
    /// Two daemons that share a platform and a ledger. Their configuration comes from the platform.
    async fn open(latency: Duration) -> Self {
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

    async fn close(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }
}

fn check(reply: &Reply, status: u16, outcome: &str) {
    assert_eq!(reply.status, status, "{}", reply.text());
    assert_eq!(reply.header("x-outcome"), outcome, "{}", reply.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_through_another_daemon_gets_the_first_answer() {
    let shop = Shop::open(Duration::from_millis(2)).await;
    let first = shop.order(0, "crate-1", "glass").await;
    check(&first, 200, "done");
    assert_eq!(first.header("idempotency-key"), "crate-1");
    // The result is recorded after the answer; until then a repeat is told to come back.
    let recorded = async {
        loop {
            let repeat = shop.order(1, "crate-1", "glass").await;
            if repeat.status == 200 {
                return repeat;
            }
            check(&repeat, 409, "unknown");
            assert!(!repeat.header("retry-after").is_empty());
        }
    };
    let repeat = tokio::time::timeout(TIMEOUT, recorded)
        .await
        .expect("in time");
    assert_eq!(repeat.text(), first.text());
    check(&repeat, 200, "done");
    check(&shop.order(1, "crate-1", "sealant").await, 422, "not_run");
    assert_eq!(shop.executions("crate-1"), 1);
    shop.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_key_is_minted_and_returned() {
    let shop = Shop::open(Duration::from_millis(2)).await;
    let reply = shop.daemons[0].post("/services/order", &[], "glass").await;
    check(&reply, 200, "done");
    let key = reply.header("idempotency-key");
    assert_eq!(key.len(), 32, "{key}");
    assert_eq!(shop.executions(key), 1);
    shop.close().await;
}

// Two daemons that each think they are first would order a crate twice.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_sends_of_one_key_execute_once() {
    let shop = Shop::open(Duration::from_millis(20)).await;
    for round in 0..10 {
        let key = format!("race-{round}");
        let (a, b) = tokio::join!(shop.order(0, &key, "glass"), shop.order(1, &key, "glass"));
        assert_eq!(shop.executions(&key), 1);
        for reply in [&a, &b] {
            match reply.status.as_u16() {
                200 => check(reply, 200, "done"),
                // The claim was lost to the other daemon, or not settled in time.
                409 => check(reply, 409, "unknown"),
                // The other request with the key may have run.
                _ => check(reply, 503, "unknown"),
            }
        }
        assert!(a.status == 200 || b.status == 200);
    }
    shop.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_orders_are_not_run_and_checked_ones_are() {
    let shop = Shop::open(Duration::from_millis(2)).await;
    shop.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    let refused = shop.order(0, "crate-2", "glass").await;
    check(&refused, 503, "unknown");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(shop.executions("crate-2"), 0);
    let minted = shop.daemons[0].post("/services/order", &[], "glass").await;
    check(&minted, 503, "not_run");
    assert!(!minted.header("retry-after").is_empty());
    assert!(shop.ledger.records().is_empty());
    let headers = [("idempotency-key", "crate-3")];
    let checked = shop.daemons[0]
        .post("/services/checked", &headers, "glass")
        .await;
    check(&checked, 200, "done");
    shop.platform.set_faults(platform::Faults::default());
    let later = async {
        loop {
            let reply = shop.order(1, "crate-2", "glass").await;
            if reply.status == 200 {
                return reply;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, later).await.expect("in time");
    assert_eq!(shop.executions("crate-2"), 1);
    shop.close().await;
}

// A `not_run` for the repeat of an order that ran would make its caller place the order anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_cannot_read_the_claim_is_unknown() {
    let shop = Shop::open(Duration::from_millis(2)).await;
    let first = shop.order(0, "crate-5", "glass").await;
    check(&first, 200, "done");
    shop.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    let repeat = shop.order(1, "crate-5", "glass").await;
    check(&repeat, 503, "unknown");
    assert!(!repeat.header("retry-after").is_empty());
    let message = repeat.json()["error"]["message"].to_string();
    for part in [
        "this request was not run",
        "an earlier one with the same idempotency key may have been",
        "repeat it with the same key",
    ] {
        assert!(message.contains(part), "{message}");
    }
    let minted = shop.daemons[1].post("/services/order", &[], "glass").await;
    check(&minted, 503, "not_run");
    assert!(!minted.header("retry-after").is_empty());
    assert!(
        !minted.text().contains("may have been"),
        "{}",
        minted.text()
    );
    shop.platform.set_faults(platform::Faults::default());
    let later = async {
        loop {
            let reply = shop.order(1, "crate-5", "glass").await;
            if reply.status == 200 {
                return reply;
            }
            check(&reply, 503, "unknown");
        }
    };
    let answer = tokio::time::timeout(TIMEOUT, later).await.expect("in time");
    assert_eq!(answer.text(), first.text());
    assert_eq!(shop.executions("crate-5"), 1);
    shop.close().await;
}

// A refusal that proves that nothing ran must give the key free, or the order could never be placed.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_order_can_be_sent_again() {
    let shop = Shop::open(Duration::from_millis(2)).await;
    shop.ledger.set_faults(ledger::Faults {
        refuse: true,
        ..ledger::Faults::default()
    });
    let refused = shop.order(0, "crate-4", "glass").await;
    assert!(refused.status.is_server_error(), "{}", refused.text());
    assert_eq!(refused.header("x-outcome"), "not_run");
    shop.ledger.set_faults(ledger::Faults::default());
    let again = async {
        loop {
            let reply = shop.order(1, "crate-4", "glass").await;
            if reply.status == 200 {
                return;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, again).await.expect("in time");
    assert_eq!(shop.executions("crate-4"), 1);
    shop.close().await;
}

// Once a byte was sent nobody may send the order again, whatever the caller does.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_for_good() {
    let shop = Shop::open(Duration::from_millis(2)).await;
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
        shop.ledger.set_faults(faults);
        let lost = shop.order(0, key, "glass").await;
        assert!(lost.status.is_server_error(), "{}", lost.text());
        assert_eq!(lost.header("x-outcome"), "unknown");
        shop.ledger.set_faults(ledger::Faults::default());
        for daemon in [0, 1, 0] {
            check(&shop.order(daemon, key, "glass").await, 409, "unknown");
        }
        assert_eq!(shop.executions(key), 1, "{key}");
    }
    shop.close().await;
}

// The caller of an order who lost patience must be able to learn its result.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_caller_went_away_is_recorded() {
    let shop = Shop::open(Duration::from_millis(300)).await;
    {
        let order = shop.order(0, "left", "glass");
        tokio::pin!(order);
        let sent = async {
            while shop.claims() == 0 {
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
            let reply = shop.order(1, "left", "glass").await;
            if reply.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, recorded)
        .await
        .expect("in time");
    assert_eq!(shop.executions("left"), 1);
    shop.close().await;
}

// The learned deadline of a first answer is about a second; an order that takes longer must not lose its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_order_gets_its_answer() {
    let shop = Shop::open(Duration::from_millis(2500)).await;
    check(&shop.order(0, "slow", "glass").await, 200, "done");
    assert_eq!(shop.executions("slow"), 1);
    shop.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_ledger_goes_silent_is_unknown_at_its_deadline() {
    let shop = Shop::open(Duration::from_millis(2)).await;
    shop.ledger.set_faults(ledger::Faults {
        silent: true,
        ..ledger::Faults::default()
    });
    let headers = [("idempotency-key", "silent")];
    let reply = shop.daemons[0]
        .post("/services/brief", &headers, "glass")
        .await;
    assert!(reply.status.is_server_error(), "{}", reply.text());
    assert_eq!(reply.header("x-outcome"), "unknown", "{}", reply.text());
    shop.ledger.set_faults(ledger::Faults::default());
    let repeat = shop.daemons[1]
        .post("/services/brief", &headers, "glass")
        .await;
    check(&repeat, 409, "unknown");
    shop.close().await;
}

impl Shop {
    /// Claim shards that exist.
    fn claims(&self) -> usize {
        let shards = 0..64;
        shards
            .filter(|shard| {
                let name = shard.to_string();
                self.platform.standin().object("claim", &name).is_some()
            })
            .count()
    }
}
