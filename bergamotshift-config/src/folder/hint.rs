//! Guesses what was meant by a name that nothing has.

/// Returns the known name that is nearest to `name`, when it is near enough to be a slip of the keyboard.
pub(super) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let far = 1 + name.chars().count() / 3;
    let mut best: Option<(usize, &str)> = None;
    for candidate in known {
        let distance = strsim::osa_distance(name, candidate);
        if distance <= far && best.is_none_or(|(least, _)| distance < least) {
            best = Some((distance, candidate));
        }
    }
    best.map(|(_, candidate)| format!("did you mean `{candidate}`?"))
}
