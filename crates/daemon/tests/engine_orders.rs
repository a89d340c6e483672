//! Engine orders of whole daemons against stand-in engines and a stand-in platform.

mod support;

use std::time::Duration;

use jaystand_control::lease::Record;
use jaystand_daemon::settings::Raw;
use jaystand_sheet::{Document, Fencing, ServerKind};
use jaystand_standin::{
    engine::{self, WeightStore},
    platform,
};
use jaystand_wire::engine::Load;
use support::{Daemon, TIMEOUT, document, engine_settings, server};

const ENGINES: usize = 6;

fn start_engines(store: &WeightStore) -> Vec<engine::Handle> {
    let start = |seed| {
        let settings = engine::Settings {
            seed,
            load_time: Duration::from_millis(200),
            weight_store: store.clone(),
            ..engine_settings()
        };
        engine::start(settings).expect("an engine")
    };
    (1..=ENGINES as u64).map(start).collect()
}

/// A configuration that wants `weights` of every engine.
fn wanting(engines: &[engine::Handle], weights: &str) -> Document {
    let servers = (0..).zip(engines).map(|(index, engine): (usize, _)| {
        let name = format!("e{index}");
        let mut server = server(&name, engine.address(), ServerKind::Engine, "model");
        server.weights_version = weights.into();
        server.fencing = Fencing::Checked;
        server
    });
    let servers: Vec<_> = servers
        .chain([server(
            "jobs-0",
            ([127, 0, 0, 1], 9).into(),
            ServerKind::Service,
            "jobs",
        )])
        .collect();
    let mut document = document(servers);
    document.directory.models[0].weights_version = weights.into();
    document
}

fn with_platform(platform: &platform::Handle) -> impl Fn(&mut Raw) {
    let address = platform.address().to_string();
    move |raw| {
        raw.platform.address.clone_from(&address);
        raw.orders.max_loading = 2;
    }
}

async fn weights(engine: &engine::Handle) -> String {
    let body = engine_get(engine).await;
    let load: Load = serde_json::from_slice(&body).expect("a load report");
    load.weights_version
}

async fn engine_get(engine: &engine::Handle) -> Vec<u8> {
    use http_body_util::{BodyExt, Empty};
    use hyper_util::{client::legacy::Client, rt::TokioExecutor};
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<bytes::Bytes>>();
    let uri = format!("http://{}/v1/load", engine.address());
    let response = client
        .get(uri.parse().expect("a URI"))
        .await
        .expect("an answer");
    response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes()
        .to_vec()
}

async fn all_serve(engines: &[engine::Handle], store: &WeightStore, wanted: &str) -> usize {
    let mut most = 0;
    let wait = async {
        loop {
            most = most.max(store.loading());
            let mut served = 0;
            for engine in engines {
                served += usize::from(weights(engine).await == wanted);
            }
            if served == engines.len() && store.loading() == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("every engine serves the new weights");
    most
}

/// Guards against engines that keep old weights, too many that load at once, an engine that stays behind after a
/// crash, and a lease that a planned stop leaves behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_are_brought_to_the_directory_and_the_lease_is_released() {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let store = WeightStore::new(2);
    let engines = start_engines(&store);
    let daemon = Daemon::start_with(wanting(&engines, "v2"), with_platform(&platform)).await;
    let most = all_serve(&engines, &store, "v2").await;
    assert!((1..=2).contains(&most), "{most} engines loaded at once");
    engines[3].crash().await;
    engines[3].restart().expect("restarted");
    all_serve(&engines, &store, "v2").await;
    let accepted = daemon
        .metric("jaystand_orders_total{result=\"accepted\"}")
        .await;
    assert!(
        (7.0..8.0).contains(&accepted),
        "{accepted} orders for 6 engines and a restart"
    );
    daemon.stop().await;
    let (_, value) = platform
        .standin()
        .object("lease", "engines")
        .expect("the lease");
    let record: Record = serde_json::from_slice(&value).expect("a lease");
    assert!(record.released, "{record:?}");
}
