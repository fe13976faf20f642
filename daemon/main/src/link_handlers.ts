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
  vmListBroadcaster: VmListBroadcaster;
  peerActivity: PeerActivity;
  notices: TreeNoticeBroadcaster;
  lastSeenVersions: LastSeenVersions;
  blackboard: DaemonBlackboard;
}

/** Creates the handlers for the requests that peers send over links. */
export function createLinkHandlers(
  options: LinkHandlersOptions,
): PeerLinkHandlers {
  const {dissemination, vmListBroadcaster, peerActivity, notices, blackboard} =
    options;
  const recordingPeerActivity = <Request, Reply>(
    handle: (request: Request) => Promise<Reply>,
  ) => {
    return (request: Request) => {
      peerActivity.recordMessage();
      return handle(request);
    };
  };
  // No version may be applied before the lowest permitted version is known.
  const isVersionFloorSettled = () => blackboard.read('versionFloor').settled;
  return {
    push: recordingPeerActivity(async request =>
      isVersionFloorSettled()
        ? dissemination.handlePush(request)
        : {outcome: 'needs_pull' as const},
    ),
    pull: recordingPeerActivity(request => dissemination.handlePull(request)),
    announce: recordingPeerActivity(async request =>
      isVersionFloorSettled()
        ? dissemination.handleAnnounce(request)
        : {version: 0},
    ),
    sendVmList: recordingPeerActivity(request =>
      vmListBroadcaster.handle(request),
    ),
    notify: recordingPeerActivity(request => notices.handleNotify(request)),
    getState: recordingPeerActivity(async request =>
      readPeerState(options, request),
    ),
  };
}

function readPeerState(
  {vmId, lastSeenVersions, blackboard}: LinkHandlersOptions,
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
    highestSeenVersion: Math.max(version, lastSeenVersions.highest),
    lastVersionOfAsker: lastSeenVersions.lastSeenVersion(request.vmId),
    members: members
      .filter(member => member.dataCentre === request.dataCentre)
      .map(toMemberRecord),
  };
}

function toMemberRecord(member: MemberView): MemberRecord {
  // Removes the fields that only this daemon observed.
  return memberRecordSchema.strip().parse(member);
}
