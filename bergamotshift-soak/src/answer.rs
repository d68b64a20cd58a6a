//! What endpoints write in their answers.

/// Returns the body of a whole answer.
pub fn body(id: &str) -> String {
    format!("the answer to {id}, and to nobody else")
}

/// Returns an event of a stream, as endpoints of a version write it.
pub fn event(id: &str, number: u64, version: &str) -> String {
    format!("id: {number}\ndata: {id} {number} {version}\n\n")
}
