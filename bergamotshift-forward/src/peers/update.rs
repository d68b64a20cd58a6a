//! The newest document, as one entry gives it to another that has an older one.
//!
//! What entries tell one another several times a second says which version each has. Whoever hears of a newer one asks one
//! of those that have it for what it lacks: one at a time, and for as long as it keeps coming.

use core::net::SocketAddr;
use core::time::Duration;
use std::borrow::Cow;
use std::rc::Rc;

use bergamotshift_core::throughput::Throughput;
use bytes::Bytes;
use futures_util::stream;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::SizedStream;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error as ThisError;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::message::Freshness;
use super::question::question;
use crate::control::Query;
use crate::document::Difference;
use crate::document::Document;
use crate::document::Mismatch;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;

/// The path at which an entry is asked for its document.
pub const PATH: &str = "/document";

/// How many entries one gives its document to at the same time. Its link is its callers' too, and each that has got the
/// document gives it on; those that are turned away ask another one.
pub const MAX_UPLOADS: usize = 4;

/// How long an entry that gives a document may take to accept a connection, to begin, and for each further [`STEP`]. A way
/// between zones takes milliseconds, and the narrowest links carry that much in 13 ms; what is forty times as slow had
/// better come from somebody else.
const PATIENCE: Duration = Duration::from_millis(500);

/// How much of a document has to come within [`PATIENCE`], in bytes.
const STEP: usize = 16 * 1_024;

/// The largest question, in bytes.
const LARGEST: usize = 64;

/// How much is handed to a connection at a time, in bytes.
const PIECE: usize = 16 * 1_024;

/// What an entry that lacks the newest document asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Ask {
    /// The version that it has; 0 without one.
    version: u64,
}

/// What an entry lacks of another one's document.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Update<'a> {
    /// What each version since its own changed.
    Steps(Vec<Cow<'a, Difference>>),
    /// All of the document.
    Whole(Cow<'a, Document>),
}

impl Update<'_> {
    /// Makes the newer document out of the one that this entry has; returns the steps to it, too, where they were told.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] when it starts from another version.
    pub fn apply(self, before: &Document) -> Result<(Document, Option<Vec<Difference>>), Mismatch> {
        let steps: Vec<Difference> = match self {
            Self::Whole(document) => return Ok((document.into_owned(), None)),
            Self::Steps(steps) => steps.into_iter().map(Cow::into_owned).collect(),
        };
        let mismatch = Mismatch {
            before: 0,
            version: before.version,
        };
        let (first, rest) = steps.split_first().ok_or(mismatch)?;
        let first = first.apply(before);
        let document = rest.iter().fold(first, |before, step| step.apply(&before?))?;
        Ok((document, Some(steps)))
    }
}

/// What an entry that is asked for its document does.
#[derive(Debug)]
pub enum Offer {
    /// It has nothing newer.
    Nothing,
    /// It gives it to enough others at the moment.
    Busy,
    /// It gives what the other one lacks.
    Update {
        /// How fresh it knows its document to be.
        freshness: Option<Freshness>,
        /// The [`Update`], encoded.
        encoded: Bytes,
        /// Counts it among the [`MAX_UPLOADS`] until it has gone out.
        permit: OwnedSemaphorePermit,
    },
}

/// Why an entry's document did not come.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// It gives it to enough others at the moment.
    #[error("it gives it to enough others")]
    Busy,
    /// It has nothing newer any more.
    #[error("it has nothing newer")]
    Nothing,
    /// The way to it broke, or it was silent.
    #[error(transparent)]
    Exchange(#[from] Failure),
    /// It is no document.
    #[error("the answer cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// A document as it came.
#[derive(Debug)]
pub struct Download {
    /// How fresh the other entry knew it to be when it began to tell.
    pub freshness: Option<Freshness>,
    /// What this entry lacked.
    pub update: Update<'static>,
    /// How long the answer was, in bytes.
    pub bytes: usize,
}

/// Asks an entry for what it has beyond a version.
///
/// # Errors
///
/// Returns why it did not come. What keeps coming is never given up: the longer a document is, the more would be lost by
/// beginning anew.
pub async fn fetch(address: SocketAddr, version: u64) -> Result<Download, Error> {
    let question = postcard::to_stdvec(&Ask { version })?;
    let mut connection = Connection::open(address, PATIENCE).await?;
    let pace = Throughput {
        bytes: STEP,
        within: PATIENCE,
    };
    let answer = exchange::download(&mut connection, address, PATH, &question, pace).await?;
    match answer.status {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => return Err(Error::Nothing),
        _ => return Err(Error::Busy),
    }
    let (freshness, update) = postcard::take_from_bytes(&answer.body)?;
    Ok(Download {
        freshness,
        update: postcard::from_bytes(update)?,
        bytes: answer.body.len(),
    })
}

/// Answers an entry that lacks the newest document.
pub async fn answer_document(control: &mpsc::UnboundedSender<Query>, mut request: Request) -> Response {
    let ask = match question::<Ask>(&mut request, LARGEST).await {
        Ok(ask) => ask,
        Err(status) => return Response::new(status),
    };
    let (reply, answer) = oneshot::channel();
    let version = ask.version;
    if control.send(Query::Document { version, reply }).is_err() {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    match answer.await {
        Ok(Offer::Update {
            freshness,
            encoded,
            permit,
        }) => response(freshness, &encoded, permit),
        Ok(Offer::Nothing) => Response::new(StatusCode::NO_CONTENT),
        Ok(Offer::Busy) | Err(_) => Response::new(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Makes an answer that goes out piece by piece, as the connection takes it, and gives the permit back behind the last one.
fn response(freshness: Option<Freshness>, encoded: &Bytes, permit: OwnedSemaphorePermit) -> Response {
    let Ok(head) = postcard::to_stdvec(&freshness) else {
        return Response::new(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let length = head.len() + encoded.len();
    let mut pieces = vec![ntex::util::Bytes::from(head)];
    pieces.extend(encoded.chunks(PIECE).map(ntex::util::Bytes::copy_from_slice));
    let pieces = pieces.into_iter().map(move |piece| {
        let _held = &permit;
        Ok::<_, Rc<dyn core::error::Error>>(piece)
    });
    let body = SizedStream::new(length as u64, stream::iter(pieces));
    Response::build(StatusCode::OK).body(Body::from_message(body))
}
