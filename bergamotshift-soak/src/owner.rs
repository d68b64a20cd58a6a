//! Which process has a connection, as the system lists it.

use std::collections::BTreeSet;
use std::fs;

/// Returns the local TCP ports of a process; none if it has ended.
pub fn ports(process: u32) -> BTreeSet<u16> {
    let sockets = sockets(process);
    if sockets.is_empty() {
        return BTreeSet::new();
    }
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let own = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = fields.get(1)?.split_once(':')?;
        let is_own = sockets.contains(*fields.get(9)?);
        u16::from_str_radix(port, 16).ok().filter(|_| is_own)
    });
    own.collect()
}

/// Returns the inodes of a process's sockets.
fn sockets(process: u32) -> BTreeSet<String> {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return BTreeSet::new();
    };
    let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    let sockets = links.filter_map(|link| {
        let name = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(name.to_owned())
    });
    sockets.collect()
}
