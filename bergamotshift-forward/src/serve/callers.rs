//! Connections of callers, tracked so that idle ones can be closed when the entry stops.

use core::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use ntex::io::IoRef;

/// Connections of one thread on which requests arrived, with the number of requests in flight on each.
#[derive(Clone, Debug, Default)]
pub(super) struct Callers(Rc<RefCell<HashMap<IoRef, u32>>>);

/// Guard that counts one request as in flight on a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    callers: Callers,
    connection: IoRef,
}

impl Callers {
    /// Counts a request as in flight on a connection.
    pub(super) fn track(&self, connection: &IoRef) -> Guard {
        *self.0.borrow_mut().entry(connection.clone()).or_default() += 1;
        Guard {
            callers: self.clone(),
            connection: connection.clone(),
        }
    }

    /// Closes the connections without requests in flight, after flushing what was written to them.
    ///
    /// Otherwise, a caller could send a request on an idle connection just before the process ends, and the request
    /// would be cut. A caller whose connection is closed connects to another entry. A request that crosses the close
    /// was never forwarded, so its caller may send it again.
    pub(super) fn close_idle(&self) {
        self.forget_closed();
        for (connection, in_flight) in self.0.borrow().iter() {
            if *in_flight == 0 {
                connection.close();
            }
        }
    }

    /// Forgets closed connections without requests in flight.
    pub(super) fn forget_closed(&self) {
        self.0
            .borrow_mut()
            .retain(|connection, in_flight| *in_flight > 0 || !connection.is_closed());
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(in_flight) = self.callers.0.borrow_mut().get_mut(&self.connection) {
            *in_flight -= 1;
        }
    }
}
