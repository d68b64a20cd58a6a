//! Keys into arenas: small `Copy` handles that stay valid only inside one process.
//!
//! A key carries a generation, so a key of a removed entity never finds the entity that took its place. Names, not
//! keys, go over the wire.

use slotmap::new_key_type;

new_key_type! {
    /// Finds an availability zone in its arena.
    pub struct Zone;

    /// Finds a service in its arena.
    pub struct Service;

    /// Finds an organisation in its arena.
    pub struct Organisation;

    /// Finds an endpoint in its arena.
    pub struct Endpoint;

    /// Finds an entry (one daemon of the fleet) in its arena.
    pub struct Entry;
}
