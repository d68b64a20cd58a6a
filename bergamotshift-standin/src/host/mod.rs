//! Hosts a stand-in: the listener, its connections and what happens to each call.

mod call;
mod connection;
mod control;
mod exchange;
mod pool;

pub(crate) use call::Call;
pub(crate) use call::dead;
pub(crate) use call::decode;
pub(crate) use call::echo_attempt;
pub(crate) use call::error;
pub(crate) use call::json;
pub(crate) use control::Control;
pub(crate) use control::Host;
pub(crate) use exchange::Answer;
pub(crate) use exchange::HangUp;
pub(crate) use exchange::Site;

/// Writes the methods that every stand-in's handle has.
macro_rules! handle {
    ($server:ident) => {
        impl $server {
            /// Returns the address the stand-in listens at.
            pub fn address(&self) -> core::net::SocketAddr {
                self.host.control().address()
            }

            /// Returns the current incarnation, which grows with each restart.
            pub fn incarnation(&self) -> bergamotshift_core::vm::Incarnation {
                self.host.control().incarnation()
            }

            /// Returns once the stand-in listens as this incarnation or a later one.
            pub async fn up_as(&self, incarnation: bergamotshift_core::vm::Incarnation) {
                self.host.control().up_as(incarnation).await;
            }

            /// Orders a fault, or its end.
            pub fn fault(&self, fault: crate::fault::Fault) {
                self.host.control().fault(&fault);
            }

            /// Stops at once: the listener refuses and all open connections are cut mid-stream.
            pub fn kill(&self) {
                self.host.control().fault(&crate::fault::Fault::Down);
            }

            /// Listens again at the same address, as the next incarnation.
            pub fn restart(&self) {
                self.host.control().fault(&crate::fault::Fault::Up);
            }

            /// Accepts connections and requests but lets nothing happen until [`Self::resume`].
            pub fn pause(&self) {
                self.host.control().fault(&crate::fault::Fault::Pause);
            }

            /// Ends [`Self::pause`].
            pub fn resume(&self) {
                self.host.control().fault(&crate::fault::Fault::Resume);
            }

            /// Returns once so many requests came in since the start, whether or not they were answered.
            pub async fn called(&self, total: u64) {
                self.host.control().called(total).await;
            }

            /// Returns how many requests of each kind came in.
            pub fn counts(&self) -> std::collections::BTreeMap<smol_str::SmolStr, u64> {
                self.host.control().counts()
            }
        }
    };
}

pub(crate) use handle;
