//! Members of the model group: lists their agents, reads their ranks and keeps links to them.

use {
    super::PlacerParts,
    crate::{
        constants::LINK_RETRY_PAUSE,
        link::{LinkConnection, open_link},
        platform::{ListedInstance, ListedRole, Result},
    },
    sassafrasslip_core::ids::InstanceName,
    sassafrasslip_proto::link::{Hello, MapOrder, MapReply, ServiceFacts, link_frame::Message},
    std::net::SocketAddr,
    tokio::{
        sync::mpsc::{self, Receiver, Sender},
        time::sleep,
    },
    tokio_util::task::AbortOnDropHandle,
};

/// Most orders queued for one member. Orders that do not fit are dropped; the coordinator sends
/// them again.
const ORDER_QUEUE_LENGTH: usize = 64;

/// Agent of the group, as the platform lists it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ListedMember {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address for links.
    pub address: SocketAddr,
}

/// Agent of the group with the ranks of its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupMember {
    /// Instance and address.
    pub listed: ListedMember,
    /// Number of the target's first rank in the group.
    pub first_rank: usize,
    /// Number of ranks of the target.
    pub ranks: usize,
}

/// Reply of a member to an order.
#[derive(Debug)]
pub struct MemberReply {
    /// Index of the member in the list that the links were opened with.
    pub member: usize,
    /// Reply as received on the link.
    pub reply: MapReply,
}

/// Lists the agents of the group, sorted by instance name. Leaving instances are included, because
/// the group cannot execute a step without their ranks.
///
/// # Errors
///
/// Fails if the instance list cannot be read.
pub async fn list_members(parts: &PlacerParts) -> Result<Vec<ListedMember>> {
    let listed = parts.instances.list().await?;
    let is_member = |listed: &ListedInstance| {
        listed.role == ListedRole::Target && listed.group.as_ref() == Some(&parts.group)
    };
    let members = listed.into_iter().filter(is_member);
    let mut members: Vec<ListedMember> = members
        .map(|listed| ListedMember {
            instance: listed.instance,
            address: listed.link_address,
        })
        .collect();
    members.sort();
    Ok(members)
}

/// Opens a link briefly to read what an agent's target serves. Returns `None` if the agent is
/// unreachable or belongs to another group.
pub async fn probe_facts(address: SocketAddr, parts: &PlacerParts) -> Option<ServiceFacts> {
    let connection = open_link(address, parts.hello.clone()).await.ok()?;
    let facts = connection.hello.service?;
    (facts.group == parts.group.as_str()).then_some(facts)
}

/// Reads the ranks of all listed members and sorts the members by first rank. Returns `None` unless
/// all are reachable and their ranks are contiguous from 0.
pub async fn discover_members(parts: &PlacerParts) -> Option<Vec<GroupMember>> {
    let mut members = Vec::new();
    for listed in list_members(parts).await.ok()? {
        let facts = probe_facts(listed.address, parts).await?;
        members.push(GroupMember {
            listed,
            first_rank: facts.first_rank as usize,
            ranks: facts.ranks as usize,
        });
    }
    members.sort_by_key(|member| member.first_rank);
    let mut next_rank = 0;
    for member in &members {
        if member.first_rank != next_rank {
            return None;
        }
        next_rank += member.ranks;
    }
    (next_rank > 0).then_some(members)
}

/// Links to all members of the group; dropping it closes them.
#[derive(Debug)]
pub struct MemberLinks {
    orders: Vec<Sender<MapOrder>>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl MemberLinks {
    /// Spawns a task for each member that keeps a link open; returns the links and the channel on
    /// which the replies arrive.
    pub fn open(members: &[GroupMember], hello: &Hello) -> (Self, Receiver<MemberReply>) {
        let (replies, receiver) = mpsc::channel(ORDER_QUEUE_LENGTH * members.len().max(1));
        let mut links = Self {
            orders: Vec::new(),
            _tasks: Vec::new(),
        };
        for (member, GroupMember { listed, .. }) in members.iter().enumerate() {
            let (sender, orders) = mpsc::channel(ORDER_QUEUE_LENGTH);
            let task = MemberLinkTask {
                member,
                address: listed.address,
                hello: hello.clone(),
                replies: replies.clone(),
            };
            links.orders.push(sender);
            let task = tokio::spawn(task.run(orders));
            links._tasks.push(AbortOnDropHandle::new(task));
        }
        (links, receiver)
    }

    /// Queues an order for a member; drops it if the queue is full.
    pub fn send(&self, member: usize, order: MapOrder) {
        if let Some(orders) = self.orders.get(member) {
            let _ = orders.try_send(order);
        }
    }
}

struct MemberLinkTask {
    member: usize,
    address: SocketAddr,
    hello: Hello,
    replies: Sender<MemberReply>,
}

impl MemberLinkTask {
    /// Opens the link, and opens it again [`LINK_RETRY_PAUSE`] after it closes, until the task is
    /// aborted at the end of the session.
    async fn run(self, mut orders: Receiver<MapOrder>) {
        loop {
            if let Ok(connection) = open_link(self.address, self.hello.clone()).await {
                self.serve(connection, &mut orders).await;
            }
            sleep(LINK_RETRY_PAUSE).await;
            // Drops stale orders; the coordinator repeats those that still apply.
            while orders.try_recv().is_ok() {}
        }
    }

    async fn serve(&self, mut connection: LinkConnection, orders: &mut Receiver<MapOrder>) {
        let sender = connection.sender.clone();
        loop {
            tokio::select! {
                order = orders.recv() => {
                    let Some(order) = order else {
                        return;
                    };
                    if sender.send(Message::MapOrder(order)).await.is_err() {
                        return;
                    }
                }
                received = connection.receive() => match received {
                    Ok(Some(Message::MapReply(reply))) => {
                        let member = self.member;
                        let _ = self.replies.send(MemberReply { member, reply }).await;
                    }
                    Ok(Some(_)) => {}
                    Ok(None) | Err(_) => return,
                }
            }
        }
    }
}
