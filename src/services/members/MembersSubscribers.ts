import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as messages from './MembersMessage.js';

/** A message that adds a subscriber. */
type Subscription = Extract<
  messages.MembersMessage,
  {kind: 'subscribe' | 'subscribeLeavingUpstreams' | 'subscribeSuspects'}
>;

/** A message to subscribers. */
type Publication =
  | messages.MembersChanged
  | messages.UpstreamLeaving
  | messages.SuspectsAnnounced;

/** The services that are told which VMs are running, or what these announce. */
export class MembersSubscribers {
  private readonly members: kernel.Address<messages.MembersChanged>[] = [];
  private readonly leaving: kernel.Address<messages.UpstreamLeaving>[] = [];
  private readonly suspects: kernel.Address<messages.SuspectsAnnounced>[] = [];

  /** Adds a subscriber. */
  add(subscription: Subscription): void {
    switch (subscription.kind) {
      case 'subscribe':
        this.members.push(subscription.subscriber);
        return;
      case 'subscribeLeavingUpstreams':
        this.leaving.push(subscription.subscriber);
        return;
      case 'subscribeSuspects':
        this.suspects.push(subscription.subscriber);
        return;
      default:
        errors.throwUnreachable(subscription);
    }
  }

  /** Posts a message to all services that subscribed to its kind. */
  publish(message: Publication): void {
    switch (message.kind) {
      case 'membersChanged':
        for (const subscriber of this.members) subscriber.post(message);
        return;
      case 'upstreamLeaving':
        for (const subscriber of this.leaving) subscriber.post(message);
        return;
      case 'suspectsAnnounced':
        for (const subscriber of this.suspects) subscriber.post(message);
        return;
      default:
        errors.throwUnreachable(message);
    }
  }
}
