//! Applies changes to a state.

use super::{Action, Change, Lifecycle, NewNode, Node, Refusal, State, NAME_LIMIT, NODE_LIMIT, STUDIO_LIMIT};

/// Maximum relative size of a node. A larger weight would make the weights of the other nodes negligible.
const SIZE_LIMIT: f64 = 1e6;

impl State {
    /// Returns the state after `change`; `self` stays unchanged.
    ///
    /// # Errors
    /// The reason for which the change is rejected.
    pub fn after(&self, change: &Change) -> Result<State, Refusal> {
        validate_name("id of the change", &change.id)?;
        validate_name("who", &change.who)?;
        let mut next = self.clone();
        next.revision += 1;
        match &change.action {
            Action::AddNode { name, endpoint, zone, group, size, warm } => {
                let node = NewNode {
                    name: name.clone(),
                    endpoint: *endpoint,
                    zone: zone.clone(),
                    group: *group,
                    size: *size,
                };
                next.add(&node, (!warm).then_some(change.at_ms))?;
            }
            Action::DrainNode { name } => next.set_lifecycle(name, change.seen, Lifecycle::Draining)?,
            Action::ResumeNode { name } => next.set_lifecycle(name, change.seen, Lifecycle::Ready)?,
            Action::RemoveNode { name } => {
                next.node(name, change.seen)?;
                next.nodes.remove(name);
            }
            Action::ImportNodes { nodes } => next.import(nodes, change.at_ms)?,
            Action::SetPlan { studio, plan } => next.set_plan(*studio, plan.as_deref())?,
        }
        next.check_limits()?;
        Ok(next)
    }

    fn node(&mut self, name: &str, seen: Option<u64>) -> Result<&mut Node, Refusal> {
        let node = self.nodes.get_mut(name).ok_or_else(|| Refusal::NoSuchNode(name.to_string()))?;
        if seen.is_some_and(|seen| seen != node.revision) {
            return Err(Refusal::Conflict { name: name.to_string(), revision: node.revision });
        }
        Ok(node)
    }

    fn add(&mut self, new: &NewNode, launched_ms: Option<u64>) -> Result<(), Refusal> {
        validate_node(new)?;
        if self.nodes.contains_key(&new.name) {
            return Err(Refusal::Exists(new.name.clone()));
        }
        let node = ready_node(new, launched_ms, self.revision);
        self.nodes.insert(new.name.clone(), node);
        Ok(())
    }

    fn set_lifecycle(&mut self, name: &str, seen: Option<u64>, lifecycle: Lifecycle) -> Result<(), Refusal> {
        let revision = self.revision;
        let node = self.node(name, seen)?;
        node.lifecycle = lifecycle;
        node.revision = revision;
        Ok(())
    }

    fn import(&mut self, list: &[NewNode], at_ms: u64) -> Result<(), Refusal> {
        let old_nodes = std::mem::take(&mut self.nodes);
        for new in list {
            validate_node(new)?;
            let mut node = ready_node(new, Some(at_ms), self.revision);
            // A node whose endpoint changed is a different machine: it gets a slow start and does not inherit a drain.
            if let Some(old) = old_nodes.get(&new.name).filter(|old| old.endpoint == new.endpoint) {
                (node.lifecycle, node.launched_ms, node.revision) =
                    (old.lifecycle, old.launched_ms, old.revision);
                if *old != node {
                    node.revision = self.revision;
                }
            }
            if self.nodes.insert(new.name.clone(), node).is_some() {
                return Err(Refusal::Invalid(format!("the list names '{}' twice", new.name)));
            }
        }
        Ok(())
    }

    fn set_plan(&mut self, studio: u64, plan: Option<&str>) -> Result<(), Refusal> {
        match plan {
            Some(plan) => {
                validate_name("plan", plan)?;
                self.plans.insert(studio, plan.to_string());
            }
            None => drop(self.plans.remove(&studio)),
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), Refusal> {
        if self.nodes.len() > NODE_LIMIT {
            return Err(Refusal::Invalid(format!("a site has at most {NODE_LIMIT} nodes")));
        }
        if self.plans.len() > STUDIO_LIMIT {
            return Err(Refusal::Invalid(format!("at most {STUDIO_LIMIT} studios have plans of their own")));
        }
        Ok(())
    }
}

fn ready_node(new: &NewNode, launched_ms: Option<u64>, revision: u64) -> Node {
    Node {
        endpoint: new.endpoint,
        zone: new.zone.clone(),
        group: new.group,
        size: new.size,
        lifecycle: Lifecycle::Ready,
        launched_ms,
        revision,
    }
}

fn validate_name(field: &str, name: &str) -> Result<(), Refusal> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:@".contains(&byte);
    if name.is_empty() || name.len() > NAME_LIMIT || !name.bytes().all(is_allowed) {
        return Err(Refusal::Invalid(format!(
            "{field}: '{}' is not 1 to {NAME_LIMIT} letters, digits and - _ . : @",
            name.escape_default()
        )));
    }
    Ok(())
}

fn validate_node(NewNode { name, zone, size, .. }: &NewNode) -> Result<(), Refusal> {
    validate_name("node", name)?;
    if !zone.is_empty() {
        validate_name("zone", zone)?;
    }
    if !size.is_finite() || *size <= 0.0 || *size > SIZE_LIMIT {
        return Err(Refusal::Invalid(format!("size of '{name}': {size} is not above 0 and at most 1000000")));
    }
    Ok(())
}
