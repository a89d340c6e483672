//! Tests of the engine orders of whole daemons, with stand-in engines and the platform stand-in.

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

/// Returns a configuration in which every engine serves the weights version `weights`.
fn document_wanting(engines: &[engine::Handle], weights: &str) -> Document {
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

/// Returns a change of the settings that sets the platform's address and lets two engines load at once.
fn with_platform(platform: &platform::Handle) -> impl Fn(&mut Raw) {
    let address = platform.address().to_string();
    move |raw| {
        raw.platform.address.clone_from(&address);
        raw.orders.max_loading = 2;
    }
}

/// Returns the weights version that an engine serves.
async fn served_weights(engine: &engine::Handle) -> String {
    let body = get_load(engine).await;
    let load: Load = serde_json::from_slice(&body).expect("a load report");
    load.weights_version
}

async fn get_load(engine: &engine::Handle) -> Vec<u8> {
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

/// Waits until every engine serves the weights version `wanted`. Returns the largest number of engines that loaded at
/// once.
async fn wait_until_all_serve(
    engines: &[engine::Handle],
    store: &WeightStore,
    wanted: &str,
) -> usize {
    let mut max_loading = 0;
    let wait = async {
        loop {
            max_loading = max_loading.max(store.loading());
            let mut served = 0;
            for engine in engines {
                served += usize::from(served_weights(engine).await == wanted);
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
    max_loading
}

/// Guards against engines that keep old weights, also after a crash, against more engines that load at once than
/// allowed, and against a lease that a daemon does not release when it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_load_the_directorys_weights_and_the_lease_is_released() {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let store = WeightStore::new(2);
    let engines = start_engines(&store);
    let daemon =
        Daemon::start_with(document_wanting(&engines, "v2"), with_platform(&platform)).await;
    let max_loading = wait_until_all_serve(&engines, &store, "v2").await;
    assert!(
        (1..=2).contains(&max_loading),
        "{max_loading} engines loaded at once"
    );
    engines[3].crash().await;
    engines[3].restart().expect("restarted");
    wait_until_all_serve(&engines, &store, "v2").await;
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
