//! `jaystand team`: lists and changes the teams of the directory and their API keys.

use std::num::NonZeroU32;

use jaystand_sheet::{Document, Team as DirectoryTeam};
use serde_json::{Value, json};

use crate::{
    arguments::{Signature, Team},
    client::Client,
    error::Error,
    output::Output,
    sheet::put_config,
};

/// Random bytes in an API key; 32 bytes cannot be guessed.
const KEY_BYTES: usize = 32;

pub(crate) async fn run(command: Team, client: &Client, output: &Output) -> Result<(), Error> {
    let mut document = client.config().await?.unwrap_or_default();
    match command {
        Team::List => {
            show_teams(&document, output);
            Ok(())
        }
        Team::Add {
            name,
            weight,
            signature,
        } => {
            let key = add_team(&mut document, &name, weight)?;
            let note = note_or_default(&signature, &format!("team add {name}"));
            let version = put_document(client, document, &signature, &note).await?;
            show_key(output, &name, &key, &version);
            Ok(())
        }
        Team::Remove { name, signature } => {
            team_index(&document, &name)?;
            document.directory.teams.retain(|team| team.name != name);
            let note = note_or_default(&signature, &format!("team remove {name}"));
            let version = put_document(client, document, &signature, &note).await?;
            output.show(&json!({"team": name, "version": version}), || {
                anstream::println!("team {name} is removed in version {version}");
            });
            Ok(())
        }
        Team::Key { name, signature } => {
            let key = new_key();
            let index = team_index(&document, &name)?;
            document.directory.teams[index].key_hash = hash_key(&key).into();
            let note = note_or_default(&signature, &format!("team key {name}"));
            let version = put_document(client, document, &signature, &note).await?;
            show_key(output, &name, &key, &version);
            Ok(())
        }
    }
}

fn show_teams(document: &Document, output: &Output) {
    let teams: Vec<Value> = document
        .directory
        .teams
        .iter()
        .map(|team| {
            json!({
                "name": team.name,
                "weight": team.weight,
                "key_hash": team.key_hash,
            })
        })
        .collect();
    let columns = [
        ("team", "/name"),
        ("weight", "/weight"),
        ("key hash", "/key_hash"),
    ];
    output.show_table(&json!({"teams": teams}), "teams", &columns);
}

/// Adds a team to the directory and returns its new API key.
fn add_team(document: &mut Document, name: &str, weight: NonZeroU32) -> Result<String, Error> {
    if team_index(document, name).is_ok() {
        return Err(Error::refused(
            format!("there is a team `{name}` already"),
            "use another name, or `jaystand team key` for a new key",
        ));
    }
    let key = new_key();
    document.directory.teams.push(DirectoryTeam {
        name: name.into(),
        key_hash: hash_key(&key).into(),
        weight,
    });
    Ok(key)
}

/// Returns the index of a team in the directory.
fn team_index(document: &Document, name: &str) -> Result<usize, Error> {
    let mut teams = document.directory.teams.iter();
    teams.position(|team| team.name == name).ok_or_else(|| {
        Error::refused(
            format!("there is no team `{name}`"),
            "use a name that `jaystand team list` shows",
        )
    })
}

/// Replaces the configuration that `document` was made from, and returns the new version.
async fn put_document(
    client: &Client,
    document: Document,
    signature: &Signature,
    note: &str,
) -> Result<Value, Error> {
    let body = json!({
        "sheet": document.sheet,
        "directory": document.directory,
        "author": signature.author,
        "note": note,
    });
    let accepted = put_config(client, document.version, &body).await?;
    Ok(accepted["version"].clone())
}

fn note_or_default(signature: &Signature, default: &str) -> String {
    if signature.note.is_empty() {
        return default.to_owned();
    }
    signature.note.clone()
}

fn new_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    blake3::Hash::from_bytes(bytes).to_hex().to_string()
}

fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

fn show_key(output: &Output, name: &str, key: &str, version: &Value) {
    let shown = json!({"team": name, "key": key, "version": version});
    output.show(&shown, || {
        anstream::println!("API key of team {name}, in force with version {version}:");
        anstream::println!("{key}");
        anstream::println!("It is shown once and not stored; hand it to the team now.");
    });
}
