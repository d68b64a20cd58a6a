//! Suggestions for unknown names.

/// Returns a hint with the known name that is nearest to `name`, if it is near enough for `name` to be a typing error.
pub(super) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let max_distance = 1 + name.chars().count() / 3;
    let mut best: Option<(usize, &str)> = None;
    for candidate in known {
        let distance = strsim::osa_distance(name, candidate);
        if distance <= max_distance && best.is_none_or(|(best_distance, _)| distance < best_distance) {
            best = Some((distance, candidate));
        }
    }
    best.map(|(_, candidate)| format!("did you mean `{candidate}`?"))
}
