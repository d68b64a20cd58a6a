//! What log records say of an endpoint.

use slog::KV;
use slog::Record;
use slog::Serializer;

use crate::snapshot::Endpoint;

impl KV for Endpoint {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("vm", self.vm.as_str())?;
        serializer.emit_u64("incarnation", self.incarnation.get())?;
        serializer.emit_str("service", self.service.as_str())?;
        serializer.emit_str("zone", self.zone.as_str())
    }
}
