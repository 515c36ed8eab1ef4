import type * as errors from '../../model/errors/index.js';
import type * as messages from './CallersMessage.js';

const MAX_REFUSALS = 20;

/** The last refusals of each organisation. */
export class RefusalLog {
  private readonly byOrganisation = new Map<
    string,
    readonly messages.Refusal[]
  >();

  /** Notes a refusal at the wall-clock time `nowMs`. */
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
    const known = this.byOrganisation.get(organisationId) ?? [];
    this.byOrganisation.set(organisationId, [
      ...known.slice(1 - MAX_REFUSALS),
      refusal,
    ]);
  }

  /** Gets the last refusals of an organisation, oldest first. */
  get(organisationId: string): readonly messages.Refusal[] {
    return this.byOrganisation.get(organisationId) ?? [];
  }
}
