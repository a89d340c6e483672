//! Checks of the directory: its names, keys and addresses, and the references between its lists.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use crate::{
    Directory, Fault, Faults, Server, ServerKind,
    fault::{Place, Problem, Section},
};

const MAX_NAME_CHARS: usize = 64;
/// The hexadecimal digits of a BLAKE3 hash.
const KEY_HASH_DIGITS: usize = 64;
const MAX_SHARE_PERCENT: u8 = 100;

impl Directory {
    /// Checks the directory without a sheet.
    ///
    /// # Errors
    /// Returns all faults.
    pub fn check(&self) -> Result<(), Faults> {
        let faults = find_faults(self);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults { faults })
        }
    }
}

/// Returns all faults of the directory.
pub(crate) fn find_faults(directory: &Directory) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_teams(directory, &mut faults);
    check_models(directory, &mut faults);
    check_servers(directory, &mut faults);
    faults
}

fn check_teams(directory: &Directory, faults: &mut Vec<Fault>) {
    let mut names = Unique::new(Section::Teams, "name");
    let mut keys = Unique::new(Section::Teams, "key_hash");
    for (index, team) in directory.teams.iter().enumerate() {
        check_name(Section::Teams, index, &team.name, faults);
        names.add(index, team.name.to_string(), faults);
        let is_hex = team.key_hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex || team.key_hash.len() != KEY_HASH_DIGITS {
            let place = Place::Entry(Section::Teams, index + 1, "key_hash");
            faults.push(Fault::new(
                place,
                Problem::BadKeyHash(team.key_hash.clone()),
            ));
        } else {
            keys.add(index, team.key_hash.to_ascii_lowercase().into(), faults);
        }
    }
}

fn check_models(directory: &Directory, faults: &mut Vec<Fault>) {
    let mut names = Unique::new(Section::Models, "name");
    for (index, model) in directory.models.iter().enumerate() {
        let place = |field| Place::Entry(Section::Models, index + 1, field);
        check_name(Section::Models, index, &model.name, faults);
        names.add(index, model.name.to_string(), faults);
        if model.weights_version.is_empty() {
            faults.push(Fault::new(place("weights_version"), Problem::NoWeights));
        }
        if model.serving_share > MAX_SHARE_PERCENT {
            let problem = Problem::BadShare(model.serving_share);
            faults.push(Fault::new(place("serving_share"), problem));
        }
    }
}

fn check_servers(directory: &Directory, faults: &mut Vec<Fault>) {
    let models: HashSet<&str> = directory.models.iter().map(|m| m.name.as_str()).collect();
    let mut names = Unique::new(Section::Servers, "name");
    let mut addresses = Unique::new(Section::Servers, "address");
    for (index, server) in directory.servers.iter().enumerate() {
        check_name(Section::Servers, index, &server.name, faults);
        names.add(index, server.name.to_string(), faults);
        addresses.add(index, server.address.to_string(), faults);
        for (field, problem) in server_problems(server, &models) {
            let place = Place::Entry(Section::Servers, index + 1, field);
            faults.push(Fault::new(place, problem));
        }
    }
}

/// Returns the problems of a server other than its name and repeated values, each with the field in which it is.
fn server_problems(server: &Server, models: &HashSet<&str>) -> Vec<(&'static str, Problem)> {
    let mut problems = Vec::new();
    let is_model = models.contains(server.model.as_str());
    match server.kind {
        ServerKind::Engine if !is_model => {
            problems.push(("model", Problem::UnknownModel(server.model.clone())));
        }
        ServerKind::Service if is_model => {
            problems.push(("model", Problem::ServiceNamedAsModel(server.model.clone())));
        }
        ServerKind::Service if !is_name(&server.model) => {
            problems.push(("model", Problem::BadName(server.model.clone())));
        }
        ServerKind::Engine | ServerKind::Service => {}
    }
    if server.kind == ServerKind::Engine && server.weights_version.is_empty() {
        problems.push(("weights_version", Problem::NoWeights));
    }
    if !is_name(&server.data_centre) {
        problems.push(("data_centre", Problem::BadName(server.data_centre.clone())));
    }
    if !is_callable(server.address) {
        problems.push(("address", Problem::BadAddress(server.address.to_string())));
    }
    problems
}

fn is_callable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}

/// Returns whether `text` can be a name. `*` cannot, since it stands for all servers in the sheet.
fn is_name(text: &str) -> bool {
    let is_visible = |character: char| !character.is_whitespace() && !character.is_control();
    (1..=MAX_NAME_CHARS).contains(&text.chars().count())
        && text.chars().all(is_visible)
        && text != "*"
}

fn check_name(section: Section, index: usize, text: &str, faults: &mut Vec<Fault>) {
    if !is_name(text) {
        let place = Place::Entry(section, index + 1, "name");
        faults.push(Fault::new(place, Problem::BadName(text.into())));
    }
}

/// A field whose values must differ between the entries of a list.
struct Unique {
    section: Section,
    field: &'static str,
    /// The first entry with each value, counted from 1.
    first_entries: HashMap<String, usize>,
}

impl Unique {
    fn new(section: Section, field: &'static str) -> Self {
        Self {
            section,
            field,
            first_entries: HashMap::new(),
        }
    }

    /// Adds the value of an entry. If an earlier entry has the same value, a fault is added to `faults`.
    fn add(&mut self, index: usize, text: String, faults: &mut Vec<Fault>) {
        let entry = index + 1;
        if let Some(&first) = self.first_entries.get(&text) {
            let place = Place::Entry(self.section, entry, self.field);
            faults.push(Fault::new(place, Problem::Repeated { text, first }));
        } else {
            self.first_entries.insert(text, entry);
        }
    }
}
