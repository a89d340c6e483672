//! Tests of the configuration watch, and of the acceptance of new configurations, with the platform stand-in.

use std::time::Duration;

use jaystand_control::config::{Answer, Head, Object, Refusal};
use jaystand_daemon::watch::{Watch, accept, read};
use jaystand_platform::{Client, Settings};
use jaystand_sheet::Document;
use jaystand_standin::platform::{self, Faults};
use prometheus::Registry;
use tokio::sync::mpsc;

/// Ends a test that would otherwise hang. No step waits for it.
const TIMEOUT: Duration = Duration::from_secs(20);

fn document(version: u64, sheet: &str) -> Document {
    Document {
        version,
        parent: version - 1,
        sheet: sheet.to_owned(),
        ..Document::default()
    }
}

fn client(platform: &platform::Handle) -> Client {
    let mut settings = Settings::new(platform.address(), 1000.0);
    settings.first_backoff = Duration::from_millis(1);
    Client::new(settings, &Registry::new()).unwrap()
}

fn faults(lost_before: f64, lost_after: f64) -> Faults {
    Faults {
        lost_before,
        lost_after,
        ..Faults::default()
    }
}

/// Guards against a missed change, and against a corrupt object that ends the watch or is offered to the store.
#[tokio::test]
async fn changes_are_offered_and_corrupt_objects_are_ignored() {
    let platform = platform::start(platform::Settings::default()).unwrap();
    let client = client(&platform);
    let first = document(1, "");
    assert_eq!(
        accept(&client, &first).await,
        Answer::Accepted(Head::of(&first))
    );
    let (offered, mut offers) = mpsc::unbounded_channel();
    let offer = move |document: Document| {
        let _ = offered.send(document);
    };
    let registry = Registry::new();
    let watch = Watch::new(client.clone(), offer, || true, &registry).unwrap();
    let task = tokio::spawn(watch.run());
    let mut next = async || {
        tokio::time::timeout(TIMEOUT, offers.recv())
            .await
            .unwrap()
            .unwrap()
    };
    assert_eq!(next().await, first);
    // Larger than the limit on values, so it is stored in parts.
    let large = document(2, &"row\n".repeat(300_000));
    assert_eq!(
        accept(&client, &large).await,
        Answer::Accepted(Head::of(&large))
    );
    assert_eq!(next().await, large);
    let (_, whole) = platform.standin().object("config", "current").unwrap();
    platform
        .standin()
        .set_object("config", "current", "{\"format\":9}");
    let has_label_value = |expected: &str| {
        let families = registry.gather();
        let metrics = families
            .iter()
            .flat_map(prometheus::proto::MetricFamily::get_metric);
        metrics
            .flat_map(prometheus::proto::Metric::get_label)
            .any(|label| label.value() == expected)
    };
    let corrupt_counted = async {
        while !has_label_value("corrupt") {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, corrupt_counted)
        .await
        .unwrap();
    platform.standin().set_object("config", "current", whole);
    assert_eq!(next().await, large);
    assert_eq!(read(&client, Object::History(1)).await, Ok(Some(first)));
    task.abort();
}

/// Guards against a wrong result for the operator when requests to the platform or their answers are lost.
#[tokio::test]
async fn lost_answers_do_not_change_the_result() {
    let platform = platform::start(platform::Settings::default()).unwrap();
    let client = client(&platform);
    platform.set_faults(faults(0.0, 1.0));
    let first = document(1, "");
    assert_eq!(
        accept(&client, &first).await,
        Answer::Accepted(Head::of(&first))
    );
    platform.set_faults(faults(1.0, 0.0));
    // The first write, to the history, is never confirmed, so `config/current` is not written.
    let refused = Answer::Refused(Refusal::Unreachable);
    assert_eq!(accept(&client, &document(2, "lost")).await, refused);
    platform.set_faults(Faults::default());
    let second = document(2, "");
    assert_eq!(
        accept(&client, &second).await,
        Answer::Accepted(Head::of(&second))
    );
    let late = accept(&client, &document(2, "other")).await;
    assert_eq!(
        late,
        Answer::Conflict {
            in_force: Some(Box::new(second))
        }
    );
}
