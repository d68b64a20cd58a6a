//! Callers' connections, so that idle ones can be closed when the entry stops.

use core::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use ntex::io::IoRef;

/// The connections of one thread on which requests came, with the requests under way on each.
#[derive(Clone, Debug, Default)]
pub(super) struct Callers(Rc<RefCell<HashMap<IoRef, u32>>>);

/// Counts one request as under way on a connection until it is dropped.
#[derive(Debug)]
pub(super) struct Busy {
    callers: Callers,
    connection: IoRef,
}

impl Callers {
    /// Counts a request.
    pub(super) fn enter(&self, connection: &IoRef) -> Busy {
        *self.0.borrow_mut().entry(connection.clone()).or_default() += 1;
        Busy {
            callers: self.clone(),
            connection: connection.clone(),
        }
    }

    /// Closes the connections on which no request is under way, behind what was written to them.
    ///
    /// Failure: a caller keeps its connection and sends a request just before the process ends. Symptom: the request is
    /// cut. A closed connection makes the caller come to another entry; a request that crosses the close was never
    /// passed on, so its caller may send it again.
    pub(super) fn close_idle(&self) {
        self.forget_closed();
        for (connection, busy) in self.0.borrow().iter() {
            if *busy == 0 {
                connection.close();
            }
        }
    }

    /// Forgets connections that are gone.
    pub(super) fn forget_closed(&self) {
        self.0
            .borrow_mut()
            .retain(|connection, busy| *busy > 0 || !connection.is_closed());
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(busy) = self.callers.0.borrow_mut().get_mut(&self.connection) {
            *busy -= 1;
        }
    }
}
