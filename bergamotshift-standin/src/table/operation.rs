//! One operation of a transaction, read from its expressions.

use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;

use super::failure::Failure;
use super::wire;
use super::wire::TransactItem;

/// What must hold of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    None,
    Absent,
    Version(u64),
}

/// What becomes of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    Put(Row),
    /// Sets the body and counts the version up.
    Update(Vec<u8>),
    Delete,
    Nothing,
}

/// One operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Operation {
    pub(super) key: Key,
    pub(super) condition: Condition,
    pub(super) effect: Effect,
}

impl Operation {
    /// Reads an operation.
    pub(super) fn new(item: &TransactItem) -> Result<Self, Failure> {
        let (wire, effect) = match item {
            TransactItem::Put(wire) => (wire, put(wire)?),
            TransactItem::Update(wire) => (wire, update(wire)?),
            TransactItem::Delete(wire) => (wire, Effect::Delete),
            TransactItem::ConditionCheck(wire) => (wire, Effect::Nothing),
        };
        let condition = condition(wire)?;
        if effect == Effect::Nothing && condition == Condition::None {
            return Err(Failure::validation("a ConditionCheck needs a condition"));
        }
        let key = wire.item.as_ref().or(wire.key.as_ref());
        let key = key.ok_or_else(|| Failure::validation("an operation needs a key"))?;
        Ok(Self {
            key: wire::key(key)?,
            condition,
            effect,
        })
    }

    /// Returns whether the condition holds for the row as it is.
    pub(super) fn holds(&self, row: Option<&Row>) -> bool {
        match self.condition {
            Condition::None => true,
            Condition::Absent => row.is_none(),
            Condition::Version(version) => row.is_some_and(|row| row.version == version),
        }
    }
}

fn put(wire: &wire::Operation) -> Result<Effect, Failure> {
    let item = wire
        .item
        .as_ref()
        .ok_or_else(|| Failure::validation("a Put needs an Item"))?;
    Ok(Effect::Put(Row {
        version: wire::number(item, "v")?,
        body: wire::bytes(item, "b")?,
    }))
}

fn update(wire: &wire::Operation) -> Result<Effect, Failure> {
    if wire.update_expression.as_deref() != Some("SET b = :b ADD v :one") {
        return Err(Failure::validation("the UpdateExpression is not supported"));
    }
    if wire::number(&wire.expression_attribute_values, ":one")? != 1 {
        return Err(Failure::validation(":one is not 1"));
    }
    Ok(Effect::Update(wire::bytes(&wire.expression_attribute_values, ":b")?))
}

fn condition(wire: &wire::Operation) -> Result<Condition, Failure> {
    match wire.condition_expression.as_deref() {
        None => Ok(Condition::None),
        Some("attribute_not_exists(pk)") => Ok(Condition::Absent),
        Some("v = :v") => Ok(Condition::Version(wire::number(
            &wire.expression_attribute_values,
            ":v",
        )?)),
        Some(_) => Err(Failure::validation("the ConditionExpression is not supported")),
    }
}
