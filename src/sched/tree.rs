//! Hierarchical start-time fair queueing over rank, partner, team and caller.
//!
//! Each node has a start tag, the virtual time at which its next request begins. A parent serves
//! the waiting child with the smallest tag and moves its own virtual time there; serving work `w`
//! moves the child's tag by `w / weight`. A child that had nothing waiting starts at the parent's
//! virtual time at the earliest, or at the first waiting child's tag if that is less, so an idle
//! share is lent and is not saved up.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::wire::Rank;

slotmap::new_key_type! {
    /// Names a node of the tree.
    pub struct Node;
}

/// Nodes up to which idle ones are kept.
const PRUNE_AT: usize = 4096;

/// Weight of a rank without a floor, small enough that the other one always goes first.
const WEIGHT_MIN: f64 = 1e-3;

/// Part of its share above which a caller is held back; shares vary by single requests.
const OVER_SHARE: f64 = 1.25;

/// A virtual time, ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tag(f64);

impl Eq for Tag {}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug)]
struct State<T> {
    parent: Node,
    name: CompactString,
    weight: f64,
    start: Tag,
    // Start tag of the child that was served last; never decreases.
    virtual_time: Tag,
    children: BTreeMap<CompactString, Node>,
    // Invariant: holds exactly the children with `waiting > 0`, by their start tags.
    ready: BTreeSet<(Tag, Node)>,
    // Invariant: the sum of the weights of the children in `ready`.
    ready_weight: f64,
    // Requests of a caller that wait or run.
    held: u32,
    // Requests that run, of callers, partners and ranks.
    running: u32,
    // Invariant: for a caller whether it counts as active, for others the number of active
    // children.
    active: u32,
    // Invariant: the sum of the weights of the active children.
    active_weight: f64,
    // Requests of a caller in order; empty on other levels.
    queue: BTreeMap<i64, T>,
    // Invariant: requests in the queues of this node and of all nodes below.
    waiting: usize,
    // Work of those requests in tokens.
    work: f64,
}

/// Callers that one caller is compared with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Among {
    /// Those of its partner.
    Partner,
    /// Those of all partners.
    All,
}

/// A place in the order of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Node of the caller.
    pub caller: Node,
    number: i64,
}

/// Who a request belongs to, and with which weights.
#[derive(Clone, Copy, Debug)]
pub struct Path<'a> {
    /// Rank.
    pub rank: Rank,
    /// Partner and its share.
    pub partner: (&'a CompactString, u32),
    /// Team and its weight.
    pub team: (&'a CompactString, u32),
    /// Caller; all callers of a team weigh the same.
    pub caller: &'a CompactString,
}

/// The tree; `T` stands for a waiting request.
#[derive(Debug)]
pub struct Tree<T> {
    nodes: SlotMap<Node, State<T>>,
    root: Node,
    ranks: [Node; 2],
    credit: f64,
    prune_at: usize,
}

fn rank_index(rank: Rank) -> usize {
    match rank {
        Rank::Urgent => 0,
        Rank::Routine => 1,
    }
}

impl<T: Copy> Tree<T> {
    /// Creates a tree in which routine work keeps `floor_percent` of the work.
    pub fn new(floor_percent: u32) -> Self {
        let mut nodes = SlotMap::with_key();
        let root = nodes.insert(State::new(Node::default(), "".into(), 1.0));
        // Equal tags are served in the order of creation, so urgent work comes first.
        let ranks = ["urgent", "routine"].map(|name| {
            let rank = nodes.insert(State::new(root, name.into(), 1.0));
            nodes[root].children.insert(name.into(), rank);
            rank
        });
        let mut tree = Self {
            nodes,
            root,
            ranks,
            credit: 0.0,
            prune_at: PRUNE_AT,
        };
        tree.set_floor(floor_percent);
        tree
    }

    /// Sets the share of work that routine work keeps while both ranks wait, in percent.
    pub fn set_floor(&mut self, percent: u32) {
        let floor = f64::from(percent.min(100));
        let weights = [100.0 - floor, floor].map(|weight| weight.max(WEIGHT_MIN));
        if weights == self.ranks.map(|rank| self.nodes[rank].weight) {
            return;
        }
        for (rank, weight) in self.ranks.into_iter().zip(weights) {
            self.set_weight(rank, weight);
            // Tags grew by the old weights, so a small old floor would hold for long.
            let now = self.nodes[self.root].virtual_time.0;
            let ahead = (self.nodes[rank].start.0 - now) * weight;
            self.charge_node(rank, -ahead);
        }
    }

    /// Sets the routine work, in tokens, that counts towards its floor although it was served
    /// before urgent work came.
    ///
    /// Without it a burst of urgent work would leave the floor to routine work even where routine
    /// work had just had all of the fleet.
    pub fn set_credit(&mut self, work: f64) {
        self.credit = work / self.nodes[self.ranks[1]].weight;
    }

    /// Returns the node of a caller; creates it and its parents where needed.
    pub fn caller(&mut self, path: &Path<'_>) -> Node {
        if self.nodes.len() >= self.prune_at {
            self.prune();
        }
        let rank = self.ranks[rank_index(path.rank)];
        let partner = self.child(rank, path.partner.0, path.partner.1);
        let team = self.child(partner, path.team.0, path.team.1);
        self.child(team, path.caller, 1)
    }

    fn child(&mut self, parent: Node, name: &CompactString, weight: u32) -> Node {
        let weight = f64::from(weight.max(1));
        if let Some(node) = self.nodes[parent].children.get(name) {
            let node = *node;
            self.set_weight(node, weight);
            return node;
        }
        let node = self.nodes.insert(State::new(parent, name.clone(), weight));
        self.nodes[parent].children.insert(name.clone(), node);
        node
    }

    fn set_weight(&mut self, node: Node, weight: f64) {
        let state = &mut self.nodes[node];
        let old = std::mem::replace(&mut state.weight, weight);
        let (is_ready, is_active) = (state.waiting > 0, state.active > 0);
        let parent = state.parent;
        if is_ready && old != weight {
            self.nodes[parent].ready_weight += weight - old;
        }
        if is_active && old != weight {
            self.nodes[parent].active_weight += weight - old;
        }
    }

    /// Sets the weights of all partners and teams, given by level (1 partner, 2 team) and name.
    pub fn set_weights(&mut self, weight_of: impl Fn(usize, &str) -> Option<u32>) {
        let mut changes = Vec::new();
        for rank in self.ranks {
            for (name, partner) in &self.nodes[rank].children {
                changes.extend(weight_of(1, name).map(|weight| (*partner, weight)));
                for (name, team) in &self.nodes[*partner].children {
                    changes.extend(weight_of(2, name).map(|weight| (*team, weight)));
                }
            }
        }
        for (node, weight) in changes {
            self.set_weight(node, f64::from(weight.max(1)));
        }
    }

    /// Appends a request with `work` tokens to the queue of a caller.
    pub fn push(&mut self, caller: Node, request: T, work: f64) -> Place {
        let last = self.nodes[caller].queue.last_key_value();
        let number = last.map_or(0, |(number, _)| number + 1);
        self.nodes[caller].queue.insert(number, request);
        self.add(caller, work);
        Place { caller, number }
    }

    /// Puts a request with `work` tokens before the queue of a caller.
    pub fn push_front(&mut self, caller: Node, request: T, work: f64) -> Place {
        let first = self.nodes[caller].queue.first_key_value();
        let number = first.map_or(0, |(number, _)| number - 1);
        self.nodes[caller].queue.insert(number, request);
        self.add(caller, work);
        Place { caller, number }
    }

    /// Returns the part of the work that routine work keeps, 0 to 1.
    pub fn floor(&self) -> f64 {
        let [urgent, routine] = self.ranks.map(|rank| self.nodes[rank].weight);
        routine / (urgent + routine)
    }

    /// Returns whether routine work waits and has had less than its floor.
    pub fn is_floor_due(&self) -> bool {
        let [urgent, routine] = self.ranks.map(|rank| &self.nodes[rank]);
        routine.waiting > 0 && routine.start < urgent.start
    }

    /// Notes that a request of a caller exists, so that its node is kept.
    pub fn hold(&mut self, caller: Node) {
        self.nodes[caller].held += 1;
    }

    /// Undoes [`Tree::hold`].
    pub fn release(&mut self, caller: Node) {
        if let Some(state) = self.nodes.get_mut(caller) {
            state.held -= 1;
        }
    }

    /// Returns whether a caller has requests that wait or run.
    pub fn is_held(&self, caller: Node) -> bool {
        self.nodes.get(caller).is_some_and(|state| state.held > 0)
    }

    /// Notes that a request of a caller starts (`true`) or stops to run.
    pub fn set_running(&mut self, caller: Node, starts: bool) {
        let Some(team) = self.nodes.get(caller).map(|state| state.parent) else {
            return;
        };
        let partner = self.nodes[team].parent;
        let rank = self.nodes[partner].parent;
        for node in [caller, partner, rank] {
            let running = &mut self.nodes[node].running;
            *running = match starts {
                true => *running + 1,
                false => *running - 1,
            };
        }
    }

    /// Sets whether a caller counts as active when shares are compared.
    pub fn set_active(&mut self, caller: Node, active: bool) {
        let mut node = caller;
        while node != self.root && self.nodes.contains_key(node) {
            let state = &mut self.nodes[node];
            state.active = match active {
                true => state.active + 1,
                false => state.active - 1,
            };
            let (parent, weight) = (state.parent, state.weight);
            match (active, state.active) {
                (true, 1) => self.nodes[parent].active_weight += weight,
                (false, 0) => self.nodes[parent].active_weight -= weight,
                _ => return,
            }
            node = parent;
        }
    }

    /// Returns whether a caller has active urgent callers beside it.
    pub fn is_urgent_active(&self, caller: Node, among: Among) -> bool {
        let urgent = &self.nodes[self.ranks[rank_index(Rank::Urgent)]];
        if among == Among::All {
            return urgent.active > 0;
        }
        let partner = &self.nodes[self.partner_of(caller)];
        let same = urgent.children.get(&partner.name);
        same.is_some_and(|same| self.nodes[*same].active > 0)
    }

    fn partner_of(&self, caller: Node) -> Node {
        self.nodes[self.nodes[caller].parent].parent
    }

    /// Returns whether a caller runs clearly more than its part of what runs of its rank.
    pub fn is_over_share(&self, caller: Node, among: Among) -> bool {
        let running = f64::from(self.nodes[caller].running);
        let mut part = 1.0;
        let mut node = caller;
        let partner = self.partner_of(caller);
        let top = match among {
            Among::All => self.nodes[partner].parent,
            Among::Partner => partner,
        };
        while node != top {
            let state = &self.nodes[node];
            let parent = &self.nodes[state.parent];
            part *= state.weight / parent.active_weight.max(state.weight);
            node = state.parent;
        }
        part < 1.0 && running > OVER_SHARE * part * f64::from(self.nodes[node].running)
    }

    fn add(&mut self, caller: Node, work: f64) {
        let mut node = caller;
        while node != self.root {
            let parent = self.nodes[node].parent;
            let state = &mut self.nodes[node];
            state.waiting += 1;
            state.work += work;
            if state.waiting == 1 {
                self.activate(node, parent);
            }
            node = parent;
        }
        self.nodes[self.root].waiting += 1;
        self.nodes[self.root].work += work;
    }

    fn activate(&mut self, node: Node, parent: Node) {
        let credit = match node == self.ranks[0] {
            true => self.credit,
            false => 0.0,
        };
        // Work that ended early is given back, which can move waiting children behind the virtual
        // time; a new one joins them there.
        let time = self.nodes[parent].virtual_time;
        let first = self.nodes[parent].ready.first();
        let earliest = Tag(first.map_or(time, |(tag, _)| time.min(*tag)).0 - credit);
        let state = &mut self.nodes[node];
        state.start = state.start.max(earliest);
        let (tag, weight) = (state.start, state.weight);
        self.nodes[parent].ready.insert((tag, node));
        self.nodes[parent].ready_weight += weight;
    }

    /// Takes a request out of its queue.
    pub fn remove(&mut self, place: Place, work: f64) {
        let state = self.nodes.get_mut(place.caller);
        if state.is_none_or(|state| state.queue.remove(&place.number).is_none()) {
            return;
        }
        let mut node = place.caller;
        while node != self.root {
            let parent = self.nodes[node].parent;
            let state = &mut self.nodes[node];
            state.waiting -= 1;
            state.work -= work;
            if state.waiting == 0 {
                state.work = 0.0;
                let (tag, weight) = (state.start, state.weight);
                self.nodes[parent].ready.remove(&(tag, node));
                self.nodes[parent].ready_weight -= weight;
            }
            node = parent;
        }
        self.nodes[self.root].waiting -= 1;
        self.nodes[self.root].work -= work;
    }

    /// Returns the next request among the ranks and partners that `may_run` accepts.
    pub fn next(&self, may_run: impl Fn(Rank, &CompactString) -> bool) -> Option<(Place, T)> {
        let ranks = self.nodes[self.root].ready.iter();
        let mut partners = ranks.flat_map(|(_, rank)| {
            let name = match *rank == self.ranks[0] {
                true => Rank::Urgent,
                false => Rank::Routine,
            };
            let ready = self.nodes[*rank].ready.iter();
            ready.map(move |(_, partner)| (name, *partner))
        });
        let (_, partner) =
            partners.find(|(rank, partner)| may_run(*rank, &self.nodes[*partner].name))?;
        let (_, team) = self.nodes[partner].ready.first()?;
        let (_, caller) = self.nodes[*team].ready.first()?;
        let (number, request) = self.nodes[*caller].queue.first_key_value()?;
        let place = Place {
            caller: *caller,
            number: *number,
        };
        Some((place, *request))
    }

    /// Returns the first waiting requests of the callers in their order, with rank and partner.
    pub fn heads(&self) -> impl Iterator<Item = (Rank, &CompactString, Node, T)> {
        let ready = |node: Node| self.nodes[node].ready.iter().map(|(_, child)| *child);
        ready(self.root).flat_map(move |rank| {
            let name = match rank == self.ranks[0] {
                true => Rank::Urgent,
                false => Rank::Routine,
            };
            ready(rank).flat_map(move |partner| {
                let callers = ready(partner).flat_map(ready);
                callers.filter_map(move |caller| {
                    let (_, request) = self.nodes[caller].queue.first_key_value()?;
                    Some((name, &self.nodes[partner].name, caller, *request))
                })
            })
        })
    }

    /// Takes a request out of its queue to run it, and charges `work` tokens.
    pub fn serve(&mut self, place: Place, work: f64) {
        let mut node = place.caller;
        while node != self.root {
            let start = self.nodes[node].start;
            let parent = self.nodes[node].parent;
            let time = &mut self.nodes[parent].virtual_time;
            *time = start.max(*time);
            node = parent;
        }
        self.remove(place, work);
        self.charge(place.caller, work);
    }

    /// Charges work in tokens to a caller and all above it; a negative amount gives back.
    pub fn charge(&mut self, caller: Node, work: f64) {
        let mut node = caller;
        while node != self.root && self.nodes.contains_key(node) {
            self.charge_node(node, work);
            node = self.nodes[node].parent;
        }
    }

    fn charge_node(&mut self, node: Node, work: f64) {
        let state = &mut self.nodes[node];
        let old = state.start;
        state.start = Tag(old.0 + work / state.weight);
        let (new, parent, is_ready) = (state.start, state.parent, state.waiting > 0);
        if is_ready {
            let ready = &mut self.nodes[parent].ready;
            ready.remove(&(old, node));
            ready.insert((new, node));
        }
    }

    /// Charges partners with work that other hosts did for them, as far as it is more for their
    /// weight than that of the waiting partner with the least.
    pub fn charge_elsewhere(&mut self, work: &BTreeMap<CompactString, f64>) {
        for rank in self.ranks {
            let ready: Vec<_> = self.nodes[rank]
                .ready
                .iter()
                .map(|(_, node)| *node)
                .collect();
            let done = |node: &Node| {
                let state = &self.nodes[*node];
                work.get(&state.name).copied().unwrap_or(0.0) / state.weight
            };
            let least = ready.iter().map(done).fold(f64::INFINITY, f64::min);
            let excess: Vec<_> = ready
                .iter()
                .map(|node| (*node, (done(node) - least) * self.nodes[*node].weight))
                .collect();
            for (node, work) in excess {
                self.charge_node(node, work);
            }
        }
    }

    /// Returns the requests that wait for caller, team and partner of a caller's node, in this
    /// order.
    pub fn waiting_above(&self, caller: Node) -> [usize; 3] {
        let team = self.nodes[caller].parent;
        let partner = self.nodes[team].parent;
        [caller, team, partner].map(|node| self.nodes[node].waiting)
    }

    /// Returns the number of waiting requests of a rank.
    pub fn waiting_of(&self, rank: Rank) -> usize {
        self.nodes[self.ranks[rank_index(rank)]].waiting
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.nodes[self.root].waiting
    }

    /// Returns the time in seconds after which a new request of a caller would start, if its rank
    /// is served at `rate` tokens per second.
    ///
    /// At each level the work that waits there is served at least at the level's part of the rate,
    /// so the least of these times is an upper bound.
    pub fn expected_wait(&self, caller: Node, rate: f64) -> f64 {
        let team = self.nodes[caller].parent;
        let partner = self.nodes[team].parent;
        let rank = self.nodes[partner].parent;
        let mut rate = rate;
        let mut wait = self.nodes[rank].work / rate;
        for node in [partner, team, caller] {
            let state = &self.nodes[node];
            let siblings = &self.nodes[state.parent];
            let absent = match state.waiting {
                0 => state.weight,
                _ => 0.0,
            };
            rate *= state.weight / (siblings.ready_weight + absent);
            wait = wait.min(state.work / rate);
        }
        wait
    }

    /// Drops nodes that hold nothing and owe nothing.
    fn prune(&mut self) {
        let idle: Vec<_> = self
            .nodes
            .iter()
            .filter(|(node, state)| {
                *node != self.root
                    && !self.ranks.contains(node)
                    && state.children.is_empty()
                    && state.held == 0
                    && state.active == 0
                    && state.waiting == 0
                    && state.start <= self.nodes[state.parent].virtual_time
            })
            .map(|(node, _)| node)
            .collect();
        for node in idle {
            if let Some(state) = self.nodes.remove(node) {
                self.nodes[state.parent].children.remove(&state.name);
            }
        }
        self.prune_at = PRUNE_AT.max(2 * self.nodes.len());
    }
}

impl<T> State<T> {
    fn new(parent: Node, name: CompactString, weight: f64) -> Self {
        Self {
            parent,
            name,
            weight,
            start: Tag::default(),
            virtual_time: Tag::default(),
            children: BTreeMap::new(),
            ready: BTreeSet::new(),
            ready_weight: 0.0,
            held: 0,
            running: 0,
            active: 0,
            active_weight: 0.0,
            queue: BTreeMap::new(),
            waiting: 0,
            work: 0.0,
        }
    }
}
