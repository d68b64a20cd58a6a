//! Arena keys: small `Copy` handles that are valid only within one process.
//!
//! A key contains a generation, so the key of a removed entity never refers to the entity that replaced it. Names, not
//! keys, are sent over the wire.

use slotmap::new_key_type;

new_key_type! {
    /// Key of an availability zone.
    pub struct Zone;

    /// Key of a service.
    pub struct Service;

    /// Key of an organisation.
    pub struct Organisation;

    /// Key of an endpoint.
    pub struct Endpoint;

    /// Key of an entry, one daemon of the fleet.
    pub struct Entry;
}
