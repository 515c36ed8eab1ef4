import type * as errors from '../../model/errors/index.js';
import type * as messages from './CallersMessage.js';

const MAX_REFUSALS = 20;

/** Stores the most recent rejected requests of each organisation, at most `MAX_REFUSALS` of them. */
export class RefusalLog {
  private readonly refusalsByOrganisation = new Map<
    string,
    readonly messages.Refusal[]
  >();

  /** Records a request that was rejected at the wall-clock time `nowMs`, in milliseconds. */
  add(
    organisationId: string,
    requestId: string,
    error: errors.BramleyrunError,
    nowMs: number,
  ): void {
    const refusal: messages.Refusal = {
      requestId,
      refusedAtMs: nowMs,
      error: error.kind,
      message: error.message,
    };
    const previousRefusals =
      this.refusalsByOrganisation.get(organisationId) ?? [];
    this.refusalsByOrganisation.set(organisationId, [
      ...previousRefusals.slice(1 - MAX_REFUSALS),
      refusal,
    ]);
  }

  /** Gets the stored rejected requests of an organisation, oldest first. */
  get(organisationId: string): readonly messages.Refusal[] {
    return this.refusalsByOrganisation.get(organisationId) ?? [];
  }
}
