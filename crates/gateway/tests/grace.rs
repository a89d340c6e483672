//! Stops the process after its settings have changed.

mod support;

use std::time::Duration;

use jaystand_adapter_standin::{
    answer::VALID_ANSWER,
    call::{Call, Kind},
    exchange::{exchange, read_request},
    objects::{Entry, config},
    store::Store,
};
use rustix::process::Signal;
use support::Fixture;
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time that the server takes for a request: longer than the grace period at the start, shorter than the one in force.
const WORK: Duration = Duration::from_millis(2_500);
const FORMER_GRACE: &str = "grace_s = 1.5";
const GRACE: &str = "grace_s = 8.0";

fn order(id: &str) -> String {
    let call = Call {
        id,
        kind: Kind::Order,
        line: "POST /write/x",
        body: "",
        key: "key-1",
        timeout: Duration::from_secs(8),
    };
    call.text()
}

/// Guards against a grace period that was raised by a reload and does not reach the stop: an order that its server was
/// running was cut 1.4 s after SIGTERM (case 2 of the review). The signals come together, so that the stop may begin before the
/// reload.
#[tokio::test]
async fn a_raised_grace_period_reaches_the_stop() {
    for (number, pause) in [(11, Duration::from_millis(300)), (12, Duration::ZERO)] {
        let fixture = Fixture::new(number, FORMER_GRACE);
        let store = Store::start(fixture.store()).await;
        let listener = TcpListener::bind(fixture.server())
            .await
            .expect("a free address");
        let server = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut bytes = Vec::new();
                    while let Some(received) = read_request(&mut stream, &mut bytes).await {
                        sleep(WORK).await;
                        let answer = VALID_ANSWER.replace("{id}", received.id());
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let entry = Entry {
            service: "plain",
            address: fixture.server(),
            born: 1_000,
            leaving: false,
            version: 1,
        };
        store.put("servers", "i-1", &entry.text());
        store.put("config", "main", &config(3, "\"key-1\""));
        let mut process = fixture.start();
        let front = fixture.front();
        let serving = async {
            while TcpStream::connect(front).await.is_err()
                || exchange(front, &order("check"))
                    .await
                    .is_none_or(|answer| answer.status != 200)
            {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(support::PROCESS_TIMEOUT, serving)
            .await
            .expect("it serves");
        let open = tokio::spawn(async move { exchange(front, &order("r-1")).await });
        sleep(Duration::from_millis(500)).await;
        fixture.write_settings(GRACE);
        process.signal(Signal::HUP);
        sleep(pause).await;
        process.signal(Signal::TERM);
        let answer = open.await.expect("no panic").expect("an answer");
        assert_eq!((answer.status, answer.complete), (200, true));
        let output = process.wait_for_end();
        assert!(output.status.success(), "{output:?}");
        server.abort();
    }
}
