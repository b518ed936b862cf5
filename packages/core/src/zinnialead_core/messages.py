"""List every message that entries send each other."""

from zinnialead_core.components.keys import messages as keys
from zinnialead_core.components.members import messages as members
from zinnialead_core.components.slots import messages as slots
from zinnialead_core.components.steering import messages as steering
from zinnialead_core.components.tickets import messages as tickets
from zinnialead_core.components.upstreams import messages as upstreams

Message = (
    keys.BarKey
    | keys.ClaimAnswer
    | keys.ClaimAsk
    | keys.ClaimEnd
    | keys.ClaimEndAck
    | members.MembersAsk
    | members.MembersPage
    | members.News
    | members.Probe
    | members.ProbeAnswer
    | members.ProbeFor
    | members.ProbeRelayed
    | slots.SlotAnswer
    | slots.SlotAsk
    | slots.SlotHeldReport
    | slots.SlotReturn
    | slots.SlotWaiting
    | steering.LoadReport
    | tickets.StateAsk
    | tickets.StateData
    | tickets.StateDelta
    | tickets.StateNumber
    | upstreams.UpstreamNotice
)
