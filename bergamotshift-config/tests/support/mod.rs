//! Simulated platform and fleet in virtual time, and a model of the acceptance protocol.

#![expect(dead_code, reason = "each test file uses a different part")]

pub mod model;
pub mod platform;
pub mod table;
pub mod world;

use bergamotshift_config::manifest::Manifest;

/// Returns a folder with these zones and one additional file.
pub fn folder(zones: &[&str], name: &str, text: &str) -> Manifest {
    let zones: Vec<_> = zones
        .iter()
        .map(|zone| format!("[[zone]]\nname = \"{zone}\"\nregion = \"r\"\n"))
        .collect();
    let zones = zones.concat();
    Manifest::new(&[("10-zones.toml", zones.as_str()), (name, text)]).expect("a small folder")
}

/// Returns the folder with one file replaced by this text.
pub fn edit(folder: &Manifest, name: &str, text: &str) -> Manifest {
    let mut files: Vec<(&str, &str)> = folder.files().map(|(name, text)| (name.as_str(), &**text)).collect();
    files.retain(|file| file.0 != name);
    files.push((name, text));
    Manifest::new(&files).expect("a small folder")
}

/// Returns the text of a machine class, which the tests change.
pub fn class(name: &str, price: u32) -> String {
    format!("[[class]]\nname = \"{name}\"\nprice_reclaimable = {price}\nprice_on_demand = {price}\n")
}
