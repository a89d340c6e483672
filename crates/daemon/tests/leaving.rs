//! Tests that the router of every daemon learns when a backend server is leaving.

mod support;

use std::time::Duration;

use jaystand_daemon::settings::Raw;
use jaystand_standin::platform::{self, Host};
use support::{Daemon, TIMEOUT, standard_document, start_engine, start_service};

/// Calls in a row that must avoid a leaving server. With two equal engines, chance alone would cause that once in a
/// million.
const CALLS_IN_A_ROW: usize = 20;

fn host(name: &str, state: &str) -> Host {
    Host {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "dc1".to_owned(),
        state: state.to_owned(),
        role: "backend".to_owned(),
    }
}

// Guards against a daemon that does not read the platform's host list, and against a leaving mark that does not reach
// the routers of the other daemons.
#[tokio::test]
async fn a_server_that_the_host_list_calls_leaving_gets_no_new_work() {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let engines = [start_engine(1), start_engine(2)];
    let service = start_service();
    let document = standard_document(&[&engines[0], &engines[1]], &service);
    let address = platform.address().to_string();
    let ports: Vec<_> = (0..3)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let peers: Vec<String> = ports
        .iter()
        .map(|port| port.local_addr().expect("bound").to_string())
        .collect();
    drop(ports);
    let mut daemons = Vec::new();
    for (index, peer_address) in peers.iter().enumerate() {
        let change = |raw: &mut Raw| {
            raw.host.name = format!("host-{index}");
            raw.platform.address.clone_from(&address);
            raw.listen.peers.clone_from(peer_address);
            raw.peers.seeds.clone_from(&peers);
            raw.peers.key = "shared".into();
        };
        daemons.push(Daemon::start_with(document.clone(), change).await);
    }
    platform
        .standin()
        .set_hosts(vec![host("e0", "leaving"), host("e1", "live")]);
    for daemon in &daemons {
        let avoided = async {
            let mut calls = 0;
            while calls < CALLS_IN_A_ROW {
                let prompt = format!("prompt {}", rand::random::<u64>());
                let reply = daemon.chat(false, &prompt, 1).await;
                assert_eq!(reply.status, 200, "{}", reply.text());
                calls = if reply.header("x-served-by") == "e0" {
                    0
                } else {
                    calls + 1
                };
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, avoided)
            .await
            .expect("e0 gets no new work");
    }
}
