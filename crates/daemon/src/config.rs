//! The configuration in force. Only a document with a greater version replaces it, so it never reverts to an older one.

use std::{collections::HashMap, path::Path, sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use compact_str::CompactString;
use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, StartResult},
};
use jaystand_sheet::{Document, Faults, Rule, Sheet, Target};
use jaystand_types::{Model, TeamId, Version};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::settings::Settings;

/// How long a starting daemon waits for a configuration from peers or the platform before it uses the bootstrap file.
const BOOTSTRAP_DELAY: Duration = Duration::from_secs(3);

/// One configuration, checked and indexed for the request path.
#[derive(Debug)]
pub struct Active {
    /// The document as it was accepted.
    pub document: Document,
    /// The routing sheet of the document, checked.
    pub sheet: Sheet,
    /// Teams by the BLAKE3 hash of their API key.
    keys: HashMap<[u8; 32], TeamId>,
    /// Rules by team, in the order of the sheet.
    rules: HashMap<TeamId, Vec<Arc<Rule>>>,
}

/// The result of offering a document.
#[derive(Debug)]
pub enum Offered {
    /// The document is in force.
    Applied,
    /// The document is not newer than the one in force, which has this version.
    NotNewer(Version),
    /// The document has faults. Nothing was applied.
    Rejected(Faults),
}

/// Holds the configuration in force.
#[derive(Debug)]
pub struct Store {
    active: ArcSwapOption<Active>,
    changed: watch::Sender<Option<Arc<Active>>>,
    /// Serialises offers, so that the version cannot change between its check and the replacement.
    offer_lock: Mutex<()>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            active: ArcSwapOption::empty(),
            changed: watch::channel(None).0,
            offer_lock: Mutex::default(),
        }
    }
}

impl Store {
    /// Returns the configuration in force, if there is one yet.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Active>> {
        self.active.load_full()
    }

    /// Applies a document if it is newer than the one in force and has no faults.
    pub fn offer(&self, document: Document) -> Offered {
        let _guard = self.offer_lock.lock();
        if let Some(current) = self.current()
            && document.version <= current.document.version
        {
            return Offered::NotNewer(current.document.version);
        }
        match Active::try_from(document) {
            Ok(active) => {
                log::info!("configuration {} is in force", active.document.version);
                let active = Arc::new(active);
                self.active.store(Some(Arc::clone(&active)));
                self.changed.send_replace(Some(active));
                Offered::Applied
            }
            Err(faults) => Offered::Rejected(faults),
        }
    }

    /// Subscribes to the configuration. The receiver starts with the one in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Active>>> {
        self.changed.subscribe()
    }
}

impl TryFrom<Document> for Active {
    type Error = Faults;

    fn try_from(document: Document) -> Result<Self, Faults> {
        let sheet = Sheet::try_from((document.sheet.as_str(), &document.directory))?;
        let teams = document.directory.teams.iter();
        let keys = teams
            .filter_map(|team| {
                let hash = blake3::Hash::from_hex(team.key_hash.as_bytes()).ok()?;
                Some((*hash.as_bytes(), team.name.clone()))
            })
            .collect();
        let mut rules: HashMap<TeamId, Vec<Arc<Rule>>> = HashMap::new();
        for rule in &sheet.rules {
            let team_rules = rules.entry(rule.team.clone()).or_default();
            team_rules.push(Arc::new(rule.clone()));
        }
        Ok(Self {
            document,
            sheet,
            keys,
            rules,
        })
    }
}

impl Active {
    /// Returns the team that owns an API key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&TeamId> {
        self.keys.get(blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Returns a team's rule for a request kind.
    #[must_use]
    pub fn rule(&self, team: &str, kind: &str) -> Option<&Arc<Rule>> {
        self.rules.get(team)?.iter().find(|rule| rule.kind == kind)
    }

    /// Returns a team's first rule for a model.
    #[must_use]
    pub fn first_rule(&self, team: &str, model: &str) -> Option<&Arc<Rule>> {
        self.rules
            .get(team)?
            .iter()
            .find(|rule| matches!(&rule.target, Target::Model(name) if name == model))
    }

    /// Returns the models that a team may use, in the order of its rules.
    #[must_use]
    pub fn models(&self, team: &str) -> Vec<&Model> {
        let rules = self.rules.get(team).map_or(&[][..], Vec::as_slice);
        let mut models: Vec<&Model> = Vec::new();
        for rule in rules {
            if let Target::Model(model) = &rule.target
                && !models.contains(&model)
            {
                models.push(model);
            }
        }
        models
    }

    /// Returns the weights version that the directory names for a model, or an empty one if it does not list the model.
    #[must_use]
    pub fn weights_version(&self, model: &str) -> CompactString {
        let mut models = self.document.directory.models.iter();
        models
            .find(|entry| entry.name == model)
            .map(|entry| entry.weights_version.clone())
            .unwrap_or_default()
    }
}

/// Reads a document from a JSON file.
///
/// # Errors
/// Fails when the file cannot be read or is not a document.
pub fn read_document(path: &Path) -> miette::Result<Document> {
    let text = std::fs::read(path)
        .map_err(|error| miette::miette!("{}: cannot be read: {error}", path.display()))?;
    serde_json::from_slice(&text)
        .map_err(|error| miette::miette!("{}: is not a document: {error}", path.display()))
}

jaystand_kernel::register!("config", Stage::State, start);

async fn start(kernel: Kernel) -> StartResult {
    let settings = kernel.require::<Settings>()?;
    let store = Arc::new(Store::default());
    kernel.provide(Arc::clone(&store));
    let Some(path) = settings.bootstrap.clone() else {
        return Ok(Running::detached());
    };
    let document = read_document(&path)?;
    if settings.platform.is_none() && settings.peers.seeds.is_empty() {
        // There is no other source of a configuration. Faults must end the start, because the daemon would never become
        // ready without one.
        apply_bootstrap(&store, document)?;
        return Ok(Running::detached());
    }
    let timer = kernel.timer().clone();
    tokio::spawn(async move {
        timer.wake_at(timer.now() + BOOTSTRAP_DELAY).tick().await;
        if let Err(faults) = apply_bootstrap(&store, document) {
            log::error!("the bootstrap configuration was rejected: {faults}");
        }
    });
    Ok(Running::detached())
}

/// Offers the bootstrap document unless a configuration is in force already.
fn apply_bootstrap(store: &Store, document: Document) -> Result<(), Faults> {
    if store.current().is_some() {
        return Ok(());
    }
    match store.offer(document) {
        Offered::Rejected(faults) => Err(faults),
        Offered::Applied | Offered::NotNewer(_) => Ok(()),
    }
}
