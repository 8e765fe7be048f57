//! Hierarchical start-time fair queueing (SFQ) over rank, partner, team and caller.
//!
//! Each node has a start tag, the virtual time at which its next request begins. A parent serves
//! the waiting child with the smallest tag and advances its own virtual time to that tag. Serving
//! work `w` increases the child's tag by `w / weight`. A child that becomes ready gets at least the
//! parent's virtual time as its tag, or the tag of the first waiting child if that is less. So the
//! share of an idle child is lent to others and not saved up.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::wire::Rank;

slotmap::new_key_type! {
    /// Key of a node of the tree.
    pub struct Node;
}

/// Number of nodes up to which idle nodes are kept.
const PRUNE_THRESHOLD: usize = 4096;

/// Smallest weight of a rank, for a floor of 0 or 100 percent; so small that the other rank always
/// goes first.
const WEIGHT_MIN: f64 = 1e-3;

/// Factor by which a caller may exceed its share before it must leave slots free. The margin is
/// needed because a single request can exceed the share of a caller with few requests.
const OVER_SHARE_FACTOR: f64 = 1.25;

/// Virtual time with a total order.
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

/// State of a node.
#[derive(Debug)]
struct State<T> {
    parent: Node,
    name: CompactString,
    weight: f64,
    start: Tag,
    // Largest start tag of the children served so far; never decreases.
    virtual_time: Tag,
    children: BTreeMap<CompactString, Node>,
    // Invariant: exactly the children with `waiting > 0`, by start tag.
    ready: BTreeSet<(Tag, Node)>,
    // Invariant: the sum of the weights of the children in `ready`.
    ready_weight: f64,
    // Requests of a caller that wait or run; 0 on other levels.
    requests: u32,
    // Running requests, on all levels except teams.
    running: u32,
    // Invariant: 1 for an active caller, and the number of active children on other levels.
    active: u32,
    // Invariant: the sum of the weights of the active children.
    active_weight: f64,
    // Waiting requests of a caller in order; empty on other levels.
    queue: BTreeMap<i64, T>,
    // Invariant: number of requests in the queues of this node and all nodes below it.
    waiting: usize,
    // Work of these requests, in tokens.
    waiting_work: f64,
}

/// Group of callers with which a caller is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerGroup {
    /// Callers of the same partner.
    Partner,
    /// Callers of all partners.
    All,
}

/// Position of a request in the queue of its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Node of the caller.
    pub caller: Node,
    number: i64,
}

/// Path from a rank to a caller in the tree, with weights.
#[derive(Clone, Copy, Debug)]
pub struct Path<'a> {
    /// Rank.
    pub rank: Rank,
    /// Partner and its share.
    pub partner: (&'a CompactString, u32),
    /// Team and its weight.
    pub team: (&'a CompactString, u32),
    /// Caller; all callers of a team have the same weight.
    pub caller: &'a CompactString,
}

/// Tree of fair queues; `T` is a waiting request.
#[derive(Debug)]
pub struct Tree<T> {
    nodes: SlotMap<Node, State<T>>,
    root: Node,
    // Nodes of urgent and routine requests, in this order.
    ranks: [Node; 2],
    // Credit of routine work, as virtual time; see `set_credit`.
    credit: f64,
    prune_threshold: usize,
}

fn rank_index(rank: Rank) -> usize {
    match rank {
        Rank::Urgent => 0,
        Rank::Routine => 1,
    }
}

impl<T: Copy> Tree<T> {
    /// Creates a tree in which routine requests get at least `floor_percent` of the work.
    pub fn new(floor_percent: u32) -> Self {
        let mut nodes = SlotMap::with_key();
        let root = nodes.insert(State::new(Node::default(), "".into(), 1.0));
        // Equal tags are served in the order of creation, so urgent requests go first.
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
            prune_threshold: PRUNE_THRESHOLD,
        };
        tree.set_floor(floor_percent);
        tree
    }

    /// Sets the floor: the percentage of work that routine requests get while both ranks wait.
    pub fn set_floor(&mut self, percent: u32) {
        let floor = f64::from(percent.min(100));
        let weights = [100.0 - floor, floor].map(|weight| weight.max(WEIGHT_MIN));
        if weights == self.ranks.map(|rank| self.nodes[rank].weight) {
            return;
        }
        for (rank, weight) in self.ranks.into_iter().zip(weights) {
            self.set_weight(rank, weight);
            // The tags grew by the old weights. After a small floor the routine tag is far ahead,
            // which would keep routine requests waiting for long.
            let now = self.nodes[self.root].virtual_time.0;
            let lead = (self.nodes[rank].start.0 - now) * weight;
            self.charge_node(rank, -lead);
        }
    }

    /// Sets the amount of routine work, in tokens, that counts towards the floor although it was
    /// served before urgent requests arrived.
    ///
    /// Without this credit a burst of urgent requests would have to yield the floor at once, even if
    /// routine requests had just used all engines.
    pub fn set_credit(&mut self, work: f64) {
        self.credit = work / self.nodes[self.ranks[1]].weight;
    }

    /// Returns the node of a caller; creates it and its parents if needed.
    pub fn caller(&mut self, path: &Path<'_>) -> Node {
        if self.nodes.len() >= self.prune_threshold {
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

    /// Updates the weights of partners and teams. `weight_of` gets the level (1 for partners, 2 for
    /// teams) and the name; `None` keeps the present weight.
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
    pub fn push(&mut self, caller: Node, request: T, work: f64) -> Position {
        let last = self.nodes[caller].queue.last_key_value();
        let number = last.map_or(0, |(number, _)| number + 1);
        self.nodes[caller].queue.insert(number, request);
        self.add_waiting(caller, work);
        Position { caller, number }
    }

    /// Inserts a request with `work` tokens at the front of the queue of a caller.
    pub fn push_front(&mut self, caller: Node, request: T, work: f64) -> Position {
        let first = self.nodes[caller].queue.first_key_value();
        let number = first.map_or(0, |(number, _)| number - 1);
        self.nodes[caller].queue.insert(number, request);
        self.add_waiting(caller, work);
        Position { caller, number }
    }

    /// Returns the fraction of the work that routine requests get while both ranks wait, 0 to 1.
    pub fn floor(&self) -> f64 {
        let [urgent, routine] = self.ranks.map(|rank| self.nodes[rank].weight);
        routine / (urgent + routine)
    }

    /// Returns whether routine requests wait and have had less work than their floor.
    pub fn is_routine_below_floor(&self) -> bool {
        let [urgent, routine] = self.ranks.map(|rank| &self.nodes[rank]);
        routine.waiting > 0 && routine.start < urgent.start
    }

    /// Counts a request of a caller; the node is kept while it has any.
    pub fn add_request(&mut self, caller: Node) {
        self.nodes[caller].requests += 1;
    }

    /// Undoes [`Tree::add_request`].
    pub fn remove_request(&mut self, caller: Node) {
        if let Some(state) = self.nodes.get_mut(caller) {
            state.requests -= 1;
        }
    }

    /// Returns whether a caller has requests that wait or run.
    pub fn has_requests(&self, caller: Node) -> bool {
        self.nodes
            .get(caller)
            .is_some_and(|state| state.requests > 0)
    }

    /// Records that a request of a caller starts (`true`) or stops running (`false`).
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

    /// Sets whether a caller counts as active when shares are compared. The value must change with
    /// each call.
    pub fn set_active(&mut self, caller: Node, is_active: bool) {
        let mut node = caller;
        while node != self.root && self.nodes.contains_key(node) {
            let state = &mut self.nodes[node];
            state.active = match is_active {
                true => state.active + 1,
                false => state.active - 1,
            };
            let (parent, weight) = (state.parent, state.weight);
            match (is_active, state.active) {
                (true, 1) => self.nodes[parent].active_weight += weight,
                (false, 0) => self.nodes[parent].active_weight -= weight,
                _ => return,
            }
            node = parent;
        }
    }

    /// Returns whether any urgent caller of the group is active.
    pub fn is_urgent_active(&self, caller: Node, group: CallerGroup) -> bool {
        let urgent = &self.nodes[self.ranks[rank_index(Rank::Urgent)]];
        if group == CallerGroup::All {
            return urgent.active > 0;
        }
        let partner = &self.nodes[self.partner_of(caller)];
        let urgent_partner = urgent.children.get(&partner.name);
        urgent_partner.is_some_and(|partner| self.nodes[*partner].active > 0)
    }

    fn partner_of(&self, caller: Node) -> Node {
        self.nodes[self.nodes[caller].parent].parent
    }

    /// Returns whether a caller runs clearly more than its share of the requests that the group runs
    /// in its rank.
    pub fn is_over_share(&self, caller: Node, group: CallerGroup) -> bool {
        let running = f64::from(self.nodes[caller].running);
        let mut fraction = 1.0;
        let mut node = caller;
        let partner = self.partner_of(caller);
        let top = match group {
            CallerGroup::All => self.nodes[partner].parent,
            CallerGroup::Partner => partner,
        };
        while node != top {
            let state = &self.nodes[node];
            let parent = &self.nodes[state.parent];
            fraction *= state.weight / parent.active_weight.max(state.weight);
            node = state.parent;
        }
        fraction < 1.0
            && running > OVER_SHARE_FACTOR * fraction * f64::from(self.nodes[node].running)
    }

    fn add_waiting(&mut self, caller: Node, work: f64) {
        let mut node = caller;
        while node != self.root {
            let parent = self.nodes[node].parent;
            let state = &mut self.nodes[node];
            state.waiting += 1;
            state.waiting_work += work;
            if state.waiting == 1 {
                self.make_ready(node, parent);
            }
            node = parent;
        }
        self.nodes[self.root].waiting += 1;
        self.nodes[self.root].waiting_work += work;
    }

    fn make_ready(&mut self, node: Node, parent: Node) {
        let credit = match node == self.ranks[0] {
            true => self.credit,
            false => 0.0,
        };
        // The unused charge of a request that ended early is given back, which can move the tags of
        // waiting children below the virtual time. A new child must not start behind them.
        let time = self.nodes[parent].virtual_time;
        let first = self.nodes[parent].ready.first();
        let earliest = Tag(first.map_or(time, |(tag, _)| time.min(*tag)).0 - credit);
        let state = &mut self.nodes[node];
        state.start = state.start.max(earliest);
        let (tag, weight) = (state.start, state.weight);
        self.nodes[parent].ready.insert((tag, node));
        self.nodes[parent].ready_weight += weight;
    }

    /// Removes a request from its queue; does nothing if it is not there.
    pub fn remove(&mut self, position: Position, work: f64) {
        let state = self.nodes.get_mut(position.caller);
        if state.is_none_or(|state| state.queue.remove(&position.number).is_none()) {
            return;
        }
        let mut node = position.caller;
        while node != self.root {
            let parent = self.nodes[node].parent;
            let state = &mut self.nodes[node];
            state.waiting -= 1;
            state.waiting_work -= work;
            if state.waiting == 0 {
                state.waiting_work = 0.0;
                let (tag, weight) = (state.start, state.weight);
                self.nodes[parent].ready.remove(&(tag, node));
                self.nodes[parent].ready_weight -= weight;
            }
            node = parent;
        }
        self.nodes[self.root].waiting -= 1;
        self.nodes[self.root].waiting_work -= work;
    }

    /// Returns the next request of the ranks and partners that `may_run` accepts.
    pub fn next(&self, may_run: impl Fn(Rank, &CompactString) -> bool) -> Option<(Position, T)> {
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
        let position = Position {
            caller: *caller,
            number: *number,
        };
        Some((position, *request))
    }

    /// Returns the first waiting request of each caller in the order of service, with rank, partner
    /// and node of the caller.
    pub fn first_requests(&self) -> impl Iterator<Item = (Rank, &CompactString, Node, T)> {
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

    /// Removes a request from its queue to run it, and charges `work` tokens.
    pub fn serve(&mut self, position: Position, work: f64) {
        let mut node = position.caller;
        while node != self.root {
            let start = self.nodes[node].start;
            let parent = self.nodes[node].parent;
            let time = &mut self.nodes[parent].virtual_time;
            *time = start.max(*time);
            node = parent;
        }
        self.remove(position, work);
        self.charge(position.caller, work);
    }

    /// Charges work, in tokens, to a caller and all nodes above it; a negative amount is a refund.
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

    /// Charges waiting partners with work that other hosts did for them, in tokens.
    ///
    /// The smallest amount per weight group them is subtracted from all, because only differences
    /// affect the order.
    pub fn charge_remote_work(&mut self, work: &BTreeMap<CompactString, f64>) {
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

    /// Returns the number of waiting requests of a caller, its team and its partner, in this order.
    pub fn waiting_by_level(&self, caller: Node) -> [usize; 3] {
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
    /// At each level the waiting work is served at least at the level's part of the rate, so the
    /// time at each level is an upper bound, and the smallest one is returned.
    pub fn expected_wait(&self, caller: Node, rate: f64) -> f64 {
        let team = self.nodes[caller].parent;
        let partner = self.nodes[team].parent;
        let rank = self.nodes[partner].parent;
        let mut rate = rate;
        let mut wait = self.nodes[rank].waiting_work / rate;
        for node in [partner, team, caller] {
            let state = &self.nodes[node];
            let siblings = &self.nodes[state.parent];
            let joining_weight = match state.waiting {
                0 => state.weight,
                _ => 0.0,
            };
            rate *= state.weight / (siblings.ready_weight + joining_weight);
            wait = wait.min(state.waiting_work / rate);
        }
        wait
    }

    /// Removes nodes without children, requests or activity that owe nothing: their start tag is not
    /// ahead of the parent's virtual time.
    fn prune(&mut self) {
        let idle: Vec<_> = self
            .nodes
            .iter()
            .filter(|(node, state)| {
                *node != self.root
                    && !self.ranks.contains(node)
                    && state.children.is_empty()
                    && state.requests == 0
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
        self.prune_threshold = PRUNE_THRESHOLD.max(2 * self.nodes.len());
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
            requests: 0,
            running: 0,
            active: 0,
            active_weight: 0.0,
            queue: BTreeMap::new(),
            waiting: 0,
            waiting_work: 0.0,
        }
    }
}
