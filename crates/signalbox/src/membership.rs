//! What the leader of leadership keeps in order: who votes, and into how many parts limits are cut.

use crate::control::{Control, ALL};
use crate::telegram::Telegram;
use crate::Millis;
use config_store::consensus::{Command, VoterId};
use std::net::Ipv4Addr;

/// A machine that was heard so lately may be let in.
const FRESH: Millis = 2_500;
/// A voter that nobody has heard for so long is let go of, if those who are left bear it.
const LOST: Millis = 12_000;
/// The first seed waits so long for others of the core before the chain begins without itself.
const MEET: Millis = 150;

impl Control {
    /// The first seed of the very first start says who begins the chain: itself, or the first of the core that it meets.
    /// Nobody else ever does, so there is one beginning.
    pub(crate) fn bootstrap_log(&mut self) {
        let card = &self.start.card;
        let is_first = self.start.first_start && self.start.seeds.first() == Some(&card.ip);
        if !is_first || self.replica.state().index > 0 || self.now < MEET {
            return;
        }
        if self.begun.is_none() {
            let of_core = |disk: u64, counted: bool| disk != 0 && counted;
            let others =
                self.views.cards().filter(|card| of_core(card.disk, card.counted)).map(|card| card.ip);
            let own = of_core(card.disk, card.counted).then_some(card.ip);
            // Its own disk may not be open yet: with a disk to come it waits for that.
            self.begun = if card.counted { own } else { others.min() };
        }
        let slots = self.views.len() as u32 + 1;
        match self.begun {
            Some(ip) if ip == self.start.card.ip => {
                let done = self.replica.bootstrap(self.now, slots);
                self.carry_out(done);
            }
            Some(ip) => self.send(ip, Telegram::Bootstrap(slots)),
            None => {}
        }
    }

    /// Changes the set of voters by one, if it is not as it ought to be.
    pub(crate) fn reconcile_voters(&mut self) {
        if !self.replica.leads() || !self.own.is_empty() {
            return;
        }
        let state = self.replica.state().clone();
        let known = (self.views.len() + 1).max(self.lender.doors(self.now)) as u32;
        let slots = state.slots.max(known);
        let mut voters = state.voters.clone();
        let of_core: Vec<VoterId> = self
            .views
            .cards()
            .filter(|card| card.counted && card.disk != 0)
            .filter(|card| self.views.age(card.ip, self.now).is_some_and(|age| age < FRESH))
            .map(|card| VoterId { ip: card.ip, disk: card.disk })
            .collect();
        let at = |ip: Ipv4Addr| state.voters.iter().position(|voter| voter.ip == ip);
        let has_lost_its_disk =
            |voter: &VoterId| at(voter.ip).is_some_and(|index| state.voters[index].disk != voter.disk);
        if let Some(wiped) = of_core.iter().find(|voter| has_lost_its_disk(voter)) {
            // It knows nothing of what its disk promised: it goes before it comes back as another.
            voters.retain(|voter| voter.ip != wiped.ip);
        } else if let Some(new) = of_core.iter().find(|voter| at(voter.ip).is_none()) {
            voters.push(*new);
            voters.sort();
        } else if let Some(lost) = self.lost_voter() {
            voters.retain(|voter| voter.ip != lost);
        }
        // Parts are cut anew with the voters, or once those who start together have met.
        let met = slots > state.slots && self.replica.has_led(self.now, 1_500);
        if voters != state.voters || met {
            self.last_own += 1;
            self.own.insert(self.last_own);
            let command = Command::Voters { voters, slots };
            let done = self.replica.ask(self.now, self.last_own, command);
            self.carry_out(done);
        }
    }

    /// A voter that nobody has heard for long, where more than it takes to bear the next loss are there.
    fn lost_voter(&self) -> Option<Ipv4Addr> {
        let voters = &self.replica.state().voters;
        let me = self.start.card.ip;
        let is_lost = |ip: Ipv4Addr| {
            ip != me
                && self.views.age(ip, self.now).is_none_or(|age| age >= LOST.min(telegraph::views::STALE))
        };
        let lost: Vec<Ipv4Addr> = voters.iter().map(|voter| voter.ip).filter(|ip| is_lost(*ip)).collect();
        let few_known = self.views.len() >= ALL * 2;
        (voters.len() > 3 && !few_known && self.replica.has_led(self.now, LOST))
            .then(|| lost.first().copied())?
    }
}
