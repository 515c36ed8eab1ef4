import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as platform from '../../model/platform/index.js';
import * as base from '../base/index.js';
import * as peersService from '../peers/PeersMessage.js';
import * as platformService from '../platform/index.js';
import type * as attempts from './Attempt.js';
import * as writers from './ClaimWriter.js';
import type * as messages from './OperationsMessage.js';

const TICK_INTERVAL_MS = 500;
const HOLDER_TIMEOUT_MS = 800;

/** Time in milliseconds for which a stored outcome is kept in memory, to answer other processes that query it. */
const OUTCOME_RETENTION_MS = 3_600_000;

/** Maximum number of tries to write a claim for a request whose claim row is changed concurrently. */
const MAX_CLAIM_TRIES = 4;

/** Makes sure that each at-most-once action runs at most once, by writing a claim to the platform's table first. */
export class OperationsTask extends base.ServiceTask<messages.OperationsMessage> {
  private readonly processId: string;
  private readonly attempts = new Map<string, attempts.Attempt>();
  private readonly storingAttemptIds = new Set<string>();
  private drainReplies: kernel.Reply<void>[] = [];
  private writer: writers.ClaimWriter | undefined;
  private peersAddress = '';

  /**
   * @param processId The id of this process in its claims.
   * @param advertisedPeersAddress The address at which peers reach this process, if it differs from the listener's.
   */
  constructor(processId: string, advertisedPeersAddress: string | undefined) {
    super();
    this.processId = processId;
    this.peersAddress = advertisedPeersAddress ?? '';
  }

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    this.writer = new writers.ClaimWriter(services);
    if (this.peersAddress === '')
      this.peersAddress = await services
        .getOrThrow(peersService.PEERS)
        .ask<string>(reply => ({kind: 'getAddress', reply}));
    this.postEvery(TICK_INTERVAL_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.OperationsMessage): void {
    switch (message.kind) {
      case 'begin':
        void this.begin(message.request).then(message.reply);
        return;
      case 'dispatch':
        message.reply(this.startDispatch(message.attemptId));
        return;
      case 'finish':
        this.finishAttempt(message.attemptId, message.outcome);
        return;
      case 'peerRequest': {
        const {attemptId, processId} = message.request;
        const report = this.getClaimReport(attemptId, processId);
        message.reply({kind: 'claim', report});
        return;
      }
      case 'list':
        void this.listClaims(message.limit).then(message.reply);
        return;
      case 'settle':
        void this.settleClaim(message).then(message.reply);
        return;
      case 'tick':
        this.tick();
        return;
      case 'drain':
        this.drainReplies.push(message.reply);
        this.tick();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private async begin(
    request: messages.OperationRequest,
  ): Promise<messages.BeginResult> {
    const rowKey = codecs.getClaimRowKey(
      request.organisationId,
      request.keyDigestHex,
    );
    try {
      return await this.claim(request, rowKey);
    } catch (thrown) {
      const {kind, message} = errors.toError(thrown);
      return {kind: 'refused', error: kind, message};
    }
  }

  /** Tries to write a new claim first; only when a claim exists already, reads it and decides by its state. */
  private async claim(
    request: messages.OperationRequest,
    rowKey: string,
  ): Promise<messages.BeginResult> {
    let expectedVersion = 0;
    for (let tryIndex = 0; tryIndex < MAX_CLAIM_TRIES; tryIndex += 1) {
      const writeResult = await this.writeClaim(
        request,
        rowKey,
        expectedVersion,
      );
      if (writeResult.kind !== 'conflict') return toBeginResult(writeResult);
      const row = await this.readClaim(rowKey);
      if (row === undefined) {
        expectedVersion = 0;
        continue;
      }
      const decision = await this.decideRepeat(request, row.claim);
      switch (decision.kind) {
        case 'replace':
          expectedVersion = row.rowVersion;
          break;
        case 'replay':
          this.count('claims_replayed');
          return {kind: 'replay', answer: decision.answer};
        case 'refuse':
          return {
            kind: 'refused',
            error: decision.error,
            message: decision.message,
          };
        case 'askHolder':
          throw new Error('the holder was already queried');
        default:
          return errors.throwUnreachable(decision);
      }
    }
    return {
      kind: 'refused',
      error: 'operationInProgress',
      message: 'other requests with this idempotency key came at the same time',
    };
  }

  private async decideRepeat(
    request: messages.OperationRequest,
    claim: operations.Claim,
  ): Promise<decisions.RepeatDecision> {
    const decision = decisions.decideRepeatFromClaim(
      claim,
      request.requestDigestHex,
    );
    if (decision.kind !== 'askHolder') return decision;
    return decisions.decideRepeatFromHolder(await this.queryHolder(claim));
  }

  private async writeClaim(
    request: messages.OperationRequest,
    rowKey: string,
    expectedVersion: number,
  ): Promise<writers.ClaimResult> {
    const claim: operations.Claim = {
      organisationId: request.organisationId,
      keyDigestHex: request.keyDigestHex,
      requestDigestHex: request.requestDigestHex,
      attemptId: request.attemptId,
      processId: this.processId,
      peersAddress: this.peersAddress,
      dispatchDeadlineMs: request.dispatchDeadlineMs,
      state: {kind: 'claimed'},
    };
    this.attempts.set(request.attemptId, {
      rowKey,
      claim,
      rowVersion: undefined,
      state: {kind: 'claiming'},
      isOutcomePending: true,
      expiresAtMs: Infinity,
    });
    const writer = this.writer;
    if (writer === undefined) throw new Error('the task has not started');
    const result = await writer.write({rowKey, expectedVersion, claim});
    this.applyClaimResult(request.attemptId, result);
    return result;
  }

  private applyClaimResult(
    attemptId: string,
    result: writers.ClaimResult,
  ): void {
    switch (result.kind) {
      case 'claimed':
        this.count('claims_made');
        this.updateAttempt(attemptId, {
          state: {kind: 'claimed'},
          rowVersion: result.rowVersion,
        });
        return;
      case 'conflict':
      case 'unavailable':
        this.attempts.delete(attemptId);
        return;
      case 'outcomeUnknown':
        this.log('warn', 'claimAbandoned', {attempt: attemptId});
        this.updateAttempt(attemptId, {state: {kind: 'abandoned'}});
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /** Marks a claimed attempt as dispatched if its deadline has not passed; returns whether it may be dispatched. */
  private startDispatch(attemptId: string): boolean {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined || attempt.state.kind !== 'claimed') return false;
    const isInTime =
      this.getContext().clock.wallMs() < attempt.claim.dispatchDeadlineMs;
    this.updateAttempt(attemptId, {
      state: isInTime ? {kind: 'dispatched'} : {kind: 'abandoned'},
    });
    return isInTime;
  }

  private finishAttempt(
    attemptId: string,
    outcome: decisions.DispatchOutcome,
  ): void {
    const claimUpdate = decisions.decideClaimUpdate(outcome);
    switch (claimUpdate.kind) {
      case 'withdraw':
        this.updateAttempt(attemptId, {state: {kind: 'abandoned'}});
        break;
      case 'write':
        this.updateAttempt(attemptId, {
          state:
            claimUpdate.state.kind === 'answered'
              ? claimUpdate.state
              : {kind: 'unknown'},
        });
        break;
      default:
        errors.throwUnreachable(claimUpdate);
    }
    void this.storeOutcome(attemptId);
  }

  /** Stores the outcome of an attempt in the table, or deletes its claim if it did not run; ticks retry failures. */
  private async storeOutcome(attemptId: string): Promise<void> {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined || !attempt.isOutcomePending) return;
    if (this.storingAttemptIds.has(attemptId)) return;
    this.storingAttemptIds.add(attemptId);
    try {
      if (await this.tryStoreOutcome(attempt))
        this.markOutcomeStored(attemptId);
    } finally {
      this.storingAttemptIds.delete(attemptId);
    }
  }

  private async tryStoreOutcome(attempt: attempts.Attempt): Promise<boolean> {
    const {rowKey} = attempt;
    const rows = await writers.readClaims(this.getContext().services, [rowKey]);
    if (rows === undefined) return false;
    const ownRow = rows.find(
      row => row.claim.attemptId === attempt.claim.attemptId,
    );
    if (ownRow === undefined || ownRow.claim.state.kind !== 'claimed')
      return true;
    const result = await this.transact(
      ownRow.rowKey,
      ownRow.rowVersion,
      createOutcomeWrite(attempt),
    );
    return result.kind === 'committed';
  }

  private markOutcomeStored(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) return;
    const isWithdrawn = attempt.state.kind === 'abandoned';
    this.log('debug', isWithdrawn ? 'claimWithdrawn' : 'outcomeStored', {
      attempt: attemptId,
    });
    const nowMs = this.nowMs();
    this.updateAttempt(attemptId, {
      isOutcomePending: false,
      expiresAtMs: nowMs + OUTCOME_RETENTION_MS,
    });
    this.replyToDrains();
  }

  private tick(): void {
    const nowMs = this.nowMs();
    for (const [attemptId, attempt] of this.attempts) {
      if (attempt.expiresAtMs <= nowMs) this.attempts.delete(attemptId);
      else if (isEnded(attempt)) void this.storeOutcome(attemptId);
    }
    this.replyToDrains();
  }

  private replyToDrains(): void {
    const hasPendingOutcome = [...this.attempts.values()].some(
      attempt => attempt.isOutcomePending && attempt.state.kind !== 'abandoned',
    );
    if (hasPendingOutcome) return;
    for (const reply of this.drainReplies) reply();
    this.drainReplies = [];
  }

  private async queryHolder(
    claim: operations.Claim,
  ): Promise<decisions.HolderReport> {
    if (claim.processId === this.processId)
      return this.getClaimReport(claim.attemptId, claim.processId);
    const {services, clock} = this.getContext();
    const {attemptId, processId} = claim;
    const deadlineMs = clock.monotonicMs() + HOLDER_TIMEOUT_MS;
    const result = await services
      .getOrThrow(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: claim.peersAddress,
        request: {kind: 'askClaim', attemptId, processId},
        deadlineMs,
        reply,
      }));
    if (result.kind === 'connectionRefused') return {kind: 'gone'};
    if (result.kind !== 'answered' || result.answer.kind !== 'claim')
      return {kind: 'unreachable'};
    return result.answer.report;
  }

  /**
   * Gets the state of an attempt of this process, for a repeated request. An unknown attempt is reported as in
   * progress: its outcome was stored after the asking process read the claim, so the next repeat finds it in the table.
   */
  private getClaimReport(
    attemptId: string,
    processId: string,
  ): peers.ClaimReport {
    if (processId !== this.processId) return {kind: 'gone'};
    const state = this.attempts.get(attemptId)?.state;
    switch (state?.kind) {
      case undefined:
      case 'claiming':
      case 'claimed':
      case 'dispatched':
        return {kind: 'inProgress'};
      case 'answered':
        return {kind: 'answered', answer: state.answer};
      case 'abandoned':
        return {kind: 'abandoned'};
      case 'unknown':
        return {kind: 'unknown'};
    }
  }

  private async readClaim(
    rowKey: string,
  ): Promise<writers.ClaimRow | undefined> {
    const rows = await writers.readClaims(this.getContext().services, [rowKey]);
    if (rows === undefined)
      return errors.throwError(
        'platformUnavailable',
        'the claim could not be read',
      );
    return rows[0];
  }

  private async listClaims(limit: number): Promise<messages.OperationsResult> {
    const {services} = this.getContext();
    const rows = await writers.readAllClaims(services, limit);
    if (rows === undefined) return createReadFailure();
    return {kind: 'claims', claims: rows.map(row => row.claim)};
  }

  private async settleClaim(
    command: Extract<messages.OperationsMessage, {kind: 'settle'}>,
  ): Promise<messages.SettleResult> {
    const {organisationId, keyDigestHex, operatorId, hasRun} = command;
    const {services, clock} = this.getContext();
    const rowKey = codecs.getClaimRowKey(organisationId, keyDigestHex);
    const rows = await writers.readClaims(services, [rowKey]);
    if (rows === undefined) return createReadFailure();
    const [row] = rows;
    if (row === undefined) return createFailure('notFound', 'no such claim');
    if (!decisions.isSettleable(row.claim, clock.wallMs()))
      return createFailure(
        'forbidden',
        'only an unknown outcome can be settled, and only after its deadline',
      );
    const state = {kind: 'settled', operatorId, hasRun} as const;
    const value = JSON.stringify({...row.claim, state});
    const write = {kind: 'put', key: rowKey, value} as const;
    const result = await this.transact(rowKey, row.rowVersion, write);
    if (result.kind === 'committed') return {kind: 'settled'};
    return createFailure('versionConflict', `the table said ${result.kind}`);
  }

  private async transact(
    key: string,
    version: number,
    write: platform.TableWrite,
  ): Promise<platform.TransactionResult> {
    return await this.getService(
      platformService.PLATFORM,
    ).ask<platform.TransactionResult>(reply => ({
      kind: 'transact',
      transaction: {checks: [{key, version}], writes: [write]},
      reply,
    }));
  }

  private updateAttempt(
    attemptId: string,
    change: Partial<attempts.Attempt>,
  ): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) return;
    this.attempts.set(attemptId, {...attempt, ...change});
  }
}

function toBeginResult(
  result: Exclude<writers.ClaimResult, {kind: 'conflict'}>,
): messages.BeginResult {
  switch (result.kind) {
    case 'claimed':
      return {kind: 'proceed'};
    case 'unavailable':
    case 'outcomeUnknown':
      return {
        kind: 'refused',
        error: 'platformUnavailable',
        message: 'the claim could not be made, so nothing was run',
      };
    default:
      return errors.throwUnreachable(result);
  }
}

function isEnded(attempt: attempts.Attempt): boolean {
  switch (attempt.state.kind) {
    case 'claiming':
    case 'claimed':
    case 'dispatched':
      return false;
    case 'answered':
    case 'abandoned':
    case 'unknown':
      return true;
    default:
      return errors.throwUnreachable(attempt.state);
  }
}

function createOutcomeWrite(attempt: attempts.Attempt): platform.TableWrite {
  const {rowKey, claim, state} = attempt;
  switch (state.kind) {
    case 'answered':
    case 'unknown':
      return {
        kind: 'put',
        key: rowKey,
        value: JSON.stringify({...claim, state}),
      };
    case 'abandoned':
    case 'claiming':
    case 'claimed':
    case 'dispatched':
      return {kind: 'delete', key: rowKey};
    default:
      return errors.throwUnreachable(state);
  }
}

function createReadFailure(): Extract<messages.SettleResult, {kind: 'failed'}> {
  return createFailure('platformUnavailable', 'the table gives no rows');
}

function createFailure(
  kind: errors.ErrorKind,
  message: string,
): Extract<messages.SettleResult, {kind: 'failed'}> {
  return {kind: 'failed', error: errors.createError(kind, message)};
}
