//! Answers that take longer over a narrow link than a question may.

mod support;

use core::net::SocketAddr;
use core::time::Duration;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use bergamotshift_link::node::Error;
use bergamotshift_link::node::Incoming;
use support::Authority;
use support::bind;

/// How long a question may take: far less than its answer does.
const PATIENCE: Duration = Duration::from_millis(400);

/// The answer, in bytes.
const LENGTH: usize = 2_000_000;

/// The time that each datagram of the answer takes: a megabyte a second.
const GAP: Duration = Duration::from_micros(1_200);

/// Starts a narrow link to a node, and returns its address.
fn link(to: SocketAddr) -> SocketAddr {
    let near = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    let far = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    far.connect(to).unwrap();
    let address = near.local_addr().unwrap();
    let asker = Arc::new(Mutex::new(None));
    let (back, from, whom) = (Arc::clone(&near), Arc::clone(&far), Arc::clone(&asker));
    thread::spawn(move || {
        let mut datagram = vec![0; 65_536];
        while let Ok((length, from)) = near.recv_from(&mut datagram) {
            *asker.lock().unwrap() = Some(from);
            // Whoever ended is not there any more.
            let _ = far.send(&datagram[..length]);
        }
    });
    thread::spawn(move || {
        let mut datagram = vec![0; 65_536];
        while let Ok(length) = from.recv(&mut datagram) {
            thread::sleep(GAP);
            if let Some(asker) = *whom.lock().unwrap() {
                let _ = back.send_to(&datagram[..length], asker);
            }
        }
    });
    address
}

/// An entry on a narrow link serves its callers by an old configuration, although others have the newest.
///
/// The configuration's content has grown, and takes longer over the link than a question may. The question was given up
/// although the answer was coming, and asked anew from its start. Now it is waited for while it moves; a peer that is silent
/// is given up after the same time as ever.
#[tokio::test]
async fn a_long_answer_that_keeps_moving_arrives() {
    let authority = Authority::new();
    let (asker, _frames) = bind(&authority.issue(&authority));
    let (answerer, mut questions) = bind(&authority.issue(&authority));
    let to = link(answerer.address().unwrap());
    let answering = async {
        let mut silent = None;
        while let Some(Incoming::Question { bytes, answer, .. }) = questions.recv().await {
            if bytes == b"content" {
                answer.send(vec![9; LENGTH]).unwrap();
            } else {
                silent = Some(answer);
            }
        }
        drop(silent);
    };
    let asking = async {
        let answer = asker.ask(to, b"content", PATIENCE).await.unwrap();
        assert_eq!(answer.len(), LENGTH);
        let error = asker.ask(to, b"silence", PATIENCE).await.unwrap_err();
        assert!(matches!(error, Error::Timeout), "{error}");
    };
    tokio::select! {
        () = answering => unreachable!("the answerer stands"),
        () = asking => {}
    }
}
