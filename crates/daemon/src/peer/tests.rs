//! Tests of daemons that gossip over loopback sockets.

use std::{sync::Arc, time::Duration};

use jaystand_control::digest::{Gossip, MAX_DIGEST_BYTES};
use jaystand_kernel::{Kernel, plugin::Running};
use jaystand_platform::Client;
use jaystand_sheet::Document;
use jaystand_standin::platform;
use jaystand_wire::peer::raw;
use prometheus::Registry;
use proptest::prelude::*;
use tokio::net::TcpListener;
use tonic::Code;

use super::{Channels, Counts, Deployment, Peers, copy, own_entry};
use crate::{
    config::Store,
    marks::sync_operator_marks,
    settings::{Raw, Settings},
};

/// Ends tests that would otherwise hang. No test depends on its length.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Daemon {
    kernel: Kernel,
    peers: Arc<Peers>,
    store: Arc<Store>,
    _running: Running,
}

fn settings(name: &str, seeds: &[String]) -> Settings {
    let mut raw = Raw::default();
    raw.host.name = name.into();
    raw.listen.peers = "127.0.0.1:0".into();
    raw.peers.seeds = seeds.to_vec();
    raw.peers.key = "shared".into();
    Settings::try_from(raw).expect("valid settings")
}

async fn start(settings: Settings) -> Daemon {
    let kernel = Kernel::new(Registry::new());
    kernel.provide(Arc::new(settings));
    let store = Arc::new(Store::default());
    kernel.provide(Arc::clone(&store));
    let running = super::start(kernel.clone()).await.expect("it starts");
    let peers = kernel.require::<Peers>().expect("provided");
    Daemon {
        kernel,
        peers,
        store,
        _running: running,
    }
}

fn address(daemon: &Daemon) -> std::net::SocketAddr {
    daemon
        .peers
        .shared
        .gossip
        .lock()
        .members
        .own_entry()
        .address
}

fn document(version: u64) -> Document {
    let directory = serde_json::json!({
        "teams": [{"name": "t", "key_hash": "a".repeat(64)}],
        "servers": [{"name": "e", "address": "127.0.0.1:9", "data_centre": "dc1", "kind": "engine",
                     "model": "m", "weights_version": "v1", "slots": 8}],
        "models": [{"name": "m", "weights_version": "v1"}],
    });
    Document {
        version,
        sheet:
            "team,request kind,model or service,urgency,repeat rule,backend servers,max in flight,\
            requests per minute,first token ms,deadline s,expected tokens\n\
            t,k,m,urgent,repeatable,*,,,,,\n"
                .to_owned(),
        directory: serde_json::from_value(directory).expect("a directory"),
        ..Document::default()
    }
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("never: {what}"));
}

fn version(daemon: &Daemon) -> u64 {
    daemon
        .store
        .current()
        .map_or(0, |active| active.document.version)
}

fn dropped(daemon: &Daemon, reason: &str) -> u64 {
    daemon
        .peers
        .shared
        .counts
        .dropped
        .with_label_values(&[reason])
        .get()
}

fn channels(deployment: &str, key: &str) -> Channels {
    let deployment = Deployment {
        name: deployment.to_owned(),
        key: key.into(),
    };
    let counts = Counts::new(&Registry::new()).expect("a fresh registry");
    Channels::new(&deployment, counts).expect("plain names")
}

/// Guards against configurations, marks and members that do not reach every daemon, and against a daemon that starts
/// without the configuration its seeds have.
#[tokio::test]
async fn daemons_share_configuration_marks_and_members() {
    let first = start(settings("a", &[])).await;
    assert!(matches!(
        first.store.offer(document(1)),
        crate::config::Offered::Applied
    ));
    let seeds = [address(&first).to_string()];
    let mut others = Vec::new();
    for name in ["b", "c", "d"] {
        let daemon = start(settings(name, &seeds)).await;
        assert_eq!(
            version(&daemon),
            1,
            "it has the configuration when it has started"
        );
        others.push(daemon);
    }
    eventually("four members", || {
        first.peers.members().len() == 4 && others.iter().all(|d| d.peers.members().len() == 4)
    })
    .await;
    others[2].store.offer(document(5));
    eventually("version 5 everywhere", || {
        version(&first) == 5 && others.iter().all(|daemon| version(daemon) == 5)
    })
    .await;
    first.peers.set_drained("e", true);
    eventually("drained everywhere", || {
        others.iter().all(|d| d.peers.is_drained("e"))
    })
    .await;
    others[0].peers.set_drained("e", false);
    eventually("returned everywhere", || {
        !first.peers.is_leaving("e") && !others[2].peers.is_leaving("e")
    })
    .await;
    let reporters = others
        .iter()
        .chain([&first])
        .filter(|d| d.peers.is_reporter("e"));
    assert_eq!(reporters.count(), 1);
    assert!(
        first.peers.shared.counts.sent.get() > 0 && first.peers.shared.counts.received.get() > 0
    );
    first
        .kernel
        .lifecycle()
        .advance(jaystand_kernel::Phase::LameDuck);
    eventually("the leaving daemon is no watcher", || {
        !first.peers.is_watcher()
    })
    .await;
}

/// Guards against a drain that is lost when all daemons restart at once, and against an older drain that overrides a
/// later return.
#[tokio::test]
async fn a_drain_outlives_all_daemons() {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let client_settings = jaystand_platform::Settings::new(platform.address(), 1_000.0);
    let client = Client::new(client_settings, &Registry::new()).expect("a fresh registry");
    let before = start(settings("a", &[])).await;
    before.peers.set_drained("e", true);
    sync_operator_marks(&client, &before.peers)
        .await
        .expect("stored");
    drop(before);
    let after = start(settings("a", &[])).await;
    sync_operator_marks(&client, &after.peers)
        .await
        .expect("read");
    assert!(after.peers.is_drained("e"));
    after.peers.set_drained("e", false);
    sync_operator_marks(&client, &after.peers)
        .await
        .expect("stored");
    let last = start(settings("b", &[])).await;
    last.peers.set_drained("e", true);
    sync_operator_marks(&client, &last.peers)
        .await
        .expect("read");
    assert!(!last.peers.is_drained("e"), "the later return wins");
}

/// Guards against messages that take effect although they are malformed or stale, come from another deployment, or
/// carry a wrong key.
#[tokio::test]
async fn foreign_malformed_and_stale_messages_are_dropped_and_counted() {
    let daemon = start(settings("a", &[])).await;
    let peer = address(&daemon);
    let code = async |channels: &Channels, digest: raw::Digest| {
        channels
            .exchange(peer, digest)
            .await
            .err()
            .map(|status| status.code())
    };
    let own = own_entry(
        &settings("b", &[]),
        "127.0.0.1:9".parse().expect("an address"),
    );
    let mut gossip = Gossip::new(jaystand_control::member::Members::new(own, Vec::new()));
    let good = raw::Digest::from(gossip.build_digest(Duration::ZERO, None));
    let malformed = raw::Digest {
        sender: None,
        ..good.clone()
    };
    let right = channels("default", "shared");
    assert_eq!(
        code(&channels("other", "shared"), good.clone()).await,
        Some(Code::Unauthenticated)
    );
    assert_eq!(
        code(&channels("default", "wrong"), good.clone()).await,
        Some(Code::Unauthenticated)
    );
    assert_eq!(
        code(&channels("default", ""), good.clone()).await,
        Some(Code::Unauthenticated)
    );
    assert_eq!(daemon.peers.members().len(), 1);
    assert_eq!(code(&right, malformed).await, Some(Code::InvalidArgument));
    assert_eq!(
        code(
            &right,
            raw::Digest {
                round: 100,
                ..good.clone()
            }
        )
        .await,
        None
    );
    assert_eq!(code(&right, good).await, Some(Code::FailedPrecondition));
    assert_eq!(daemon.peers.members().len(), 2);
    let counts = ["foreign", "key", "malformed", "stale"].map(|reason| dropped(&daemon, reason));
    assert_eq!(counts, [1, 2, 1, 1]);
}

/// Guards against a call that hangs on a connection without answers, and against reuse of that connection.
#[tokio::test]
async fn a_silent_channel_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = listener.local_addr().expect("bound");
    let accepted = tokio::spawn(async move {
        let mut silent = Vec::new();
        for _ in 0..2 {
            silent.push(listener.accept().await.expect("a connection"));
        }
        // Returned, so that the connections stay open while the calls wait.
        silent
    });
    let channels = channels("default", "shared");
    for _ in 0..2 {
        let answer = channels.exchange(peer, raw::Digest::default()).await;
        assert_eq!(answer.expect_err("silence").code(), Code::DeadlineExceeded);
    }
    let both = tokio::time::timeout(TIMEOUT, accepted).await;
    both.expect("each call opened a connection of its own")
        .expect("no panic");
}

/// Guards against a small deflated copy that makes the daemon allocate memory without limit.
#[test]
fn an_oversized_copy_is_refused() {
    let blanks = vec![b' '; 17 << 20];
    let copy = copy::deflate(&blanks).expect("it deflates");
    assert!(copy.len() < 64 * 1024 && MAX_DIGEST_BYTES < copy.len());
    assert!(matches!(
        copy::decode_document(&copy),
        Err(copy::Unusable::TooLarge)
    ));
}

proptest! {
    /// Guards against a panic on copies of random bytes from a peer.
    #[test]
    fn random_copies_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = copy::decode_document(&bytes);
        let _ = copy::decode_table(&bytes);
    }
}
