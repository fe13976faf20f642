import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
import type {DisseminationController} from '@carobseam/fleet.dissemination';
import type {
  PeerLinkHandlers,
  PeerState,
  PeerStateRequest,
} from '@carobseam/fleet.link';
import type {TreeNoticeBroadcaster} from '@carobseam/fleet.notices';
import type {PeerActivity, VmListBroadcaster} from '@carobseam/fleet.readers';
import type {LastSeenVersions} from '@carobseam/fleet.recovery';
import type {VmId} from '@carobseam/core.types';
import {memberRecordSchema, type MemberRecord} from '@carobseam/fleet.types';

/** Options of `createLinkHandlers`. */
export interface LinkHandlersOptions {
  vmId: VmId;
  dissemination: DisseminationController;
  vmListSpreader: VmListBroadcaster;
  contact: PeerActivity;
  notices: TreeNoticeBroadcaster;
  memory: LastSeenVersions;
  blackboard: DaemonBlackboard;
}

/** Connects requests of peers to the parts that handle them. */
export function createLinkHandlers(
  options: LinkHandlersOptions,
): PeerLinkHandlers {
  const {dissemination, vmListSpreader, contact, notices, blackboard} = options;
  const heard = <Request, Reply>(
    handle: (request: Request) => Promise<Reply>,
  ) => {
    return (request: Request) => {
      contact.recordMessage();
      return handle(request);
    };
  };
  // Nothing is applied before the version floor is known.
  const isSettled = () => blackboard.read('versionFloor').settled;
  return {
    push: heard(async request =>
      isSettled()
        ? dissemination.handlePush(request)
        : {outcome: 'needs_pull' as const},
    ),
    pull: heard(request => dissemination.handlePull(request)),
    announce: heard(async request =>
      isSettled() ? dissemination.handleAnnounce(request) : {version: 0},
    ),
    sendVmList: heard(request => vmListSpreader.handle(request)),
    notify: heard(request => notices.handleNotify(request)),
    getState: heard(async request => stateFor(options, request)),
  };
}

function stateFor(
  {vmId, memory, blackboard}: LinkHandlersOptions,
  request: PeerStateRequest,
): PeerState {
  const snapshot = blackboard.read('snapshot');
  const version = snapshot?.version ?? 0;
  const members = request.includeMembers
    ? [...blackboard.read('members').values()]
    : [];
  return {
    vmId,
    version,
    manifestDigest: snapshot?.manifestDigest,
    highestSeenVersion: Math.max(version, memory.highest),
    lastVersionOfAsker: memory.lastSeenVersion(request.vmId),
    members: members
      .filter(member => member.dataCentre === request.dataCentre)
      .map(toRecord),
  };
}

function toRecord(member: MemberView): MemberRecord {
  // Leaves out what only this daemon observed.
  return memberRecordSchema.strip().parse(member);
}
