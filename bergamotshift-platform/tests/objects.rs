//! Adapter of the object store against its stand-in, with injected faults.

use bergamotshift_platform::http;
use bergamotshift_platform::prelude::*;
use bergamotshift_standin::Fault;
use bergamotshift_standin::objects;
use bytes::Bytes;

async fn adapter(server: &objects::Server) -> http::Objects {
    let base = format!("http://{}", server.address());
    let client = http::Client::new(http::Settings {
        base,
        ..Default::default()
    })
    .await
    .unwrap();
    http::Objects::new(client, http::objects::Settings { bucket: "b".into() })
}

fn server() -> objects::Server {
    objects::Server::start(objects::Settings::default()).unwrap()
}

#[ntex::test]
async fn preconditions_guard_an_object() {
    let server = server();
    let adapter = adapter(&server).await;
    let objects: &dyn Objects = &adapter;
    let put =
        |body: &'static [u8], precondition| objects.put("job/a b?/ü".into(), Bytes::from_static(body), precondition);
    let first = put(b"1", Precondition::Absent).await.unwrap();
    assert_eq!(put(b"2", Precondition::Absent).await, Err(Error::Conflict));
    let second = put(b"2", Precondition::Match(first.clone())).await.unwrap();
    assert_eq!(put(b"3", Precondition::Match(first)).await, Err(Error::Conflict));
    let object = objects.get("job/a b?/ü".into()).await.unwrap().unwrap();
    assert_eq!((object.body.as_ref(), object.tag), (&b"2"[..], second));
    assert_eq!(server.keys(), ["b/job/a b?/ü"]);
    objects.delete("job/a b?/ü".into()).await.unwrap();
    objects.delete("job/a b?/ü".into()).await.unwrap();
    assert_eq!(objects.get("job/a b?/ü".into()).await, Ok(None));
}

#[ntex::test]
async fn list_returns_keys_of_a_prefix_in_order() {
    let server = server();
    let adapter = adapter(&server).await;
    let objects: &dyn Objects = &adapter;
    for key in ["job/c", "job/a", "other", "job/b b"] {
        objects.put(key.into(), Bytes::new(), Precondition::None).await.unwrap();
    }
    assert_eq!(
        objects.list("job/".into(), None, 2).await.unwrap(),
        ["job/a", "job/b b"]
    );
    assert_eq!(
        objects.list("job/".into(), Some("job/b b".into()), 2).await.unwrap(),
        ["job/c"]
    );
    assert!(
        objects
            .list("job/".into(), Some("job/c".into()), 2)
            .await
            .unwrap()
            .is_empty()
    );
}

// The answer to a write is lost after it took effect. The result is unknown, and reading the object shows the write.
#[ntex::test]
async fn lost_answer_is_unknown_until_read_back() {
    let server = server();
    let adapter = adapter(&server).await;
    let objects: &dyn Objects = &adapter;
    server.fault(Fault::LoseAnswerAfterWrite { count: 1 });
    let lost = objects
        .put("a".into(), Bytes::from_static(b"1"), Precondition::Absent)
        .await;
    assert!(matches!(lost, Err(Error::Unknown(_))));
    assert_eq!(objects.get("a".into()).await.unwrap().unwrap().body, "1");
}

#[ntex::test]
async fn faults_are_classified_by_their_effect() {
    let cases = [
        (Fault::Down, true),
        (Fault::Refuse { count: 1 }, true),
        (Fault::Reset, false),
        (Fault::LoseAnswerAfterWrite { count: 1 }, false),
    ];
    for (fault, no_effect) in cases {
        let server = server();
        let adapter = adapter(&server).await;
        server.fault(fault.clone());
        let error = Objects::put(&adapter, "a".into(), Bytes::new(), Precondition::None)
            .await
            .unwrap_err();
        assert_eq!(error.had_no_effect(), no_effect, "{fault:?}");
        assert!(!no_effect || server.keys().is_empty(), "{fault:?}");
    }
}

#[ntex::test]
async fn incomplete_object_is_an_error() {
    let server = server();
    let adapter = adapter(&server).await;
    let objects: &dyn Objects = &adapter;
    objects
        .put("a".into(), Bytes::from_static(b"0123456789"), Precondition::None)
        .await
        .unwrap();
    server.fault(Fault::ShortBody { count: 1 });
    let half = objects.get("a".into()).await;
    assert!(matches!(half, Err(Error::Unknown(_))), "{half:?}");
}

#[ntex::test]
async fn oversized_object_is_refused() {
    let server = objects::Server::start(objects::Settings { max_bytes: 3 }).unwrap();
    let adapter = adapter(&server).await;
    let put = Objects::put(&adapter, "a".into(), Bytes::from_static(b"1234"), Precondition::None).await;
    assert!(matches!(put, Err(Error::Refused(_))));
}
