import type {OpenCallDescription} from '@marjoramcove/programs';
import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';
import type {Outstanding} from './route-call.ts';

type CallName = {programId: ProgramId; requestId: RequestId};

/** Calls and tokens that are open at each upstream, by the applied commands of this replica. */
export class OpenCallLoads {
	readonly outstanding: Outstanding = new Map();
	readonly #open = new Map<string, {upstreamId: UpstreamId; tokens: number}>();

	/** Counts a call, or moves it to the upstream of its new attempt. */
	add(call: OpenCallDescription): void {
		const {programId, requestId, upstreamId, reservedTokens} = call;
		this.remove({programId, requestId});
		this.#open.set(`${programId}:${requestId}`, {
			upstreamId,
			tokens: reservedTokens,
		});
		const entry = this.outstanding.get(upstreamId) ?? {calls: 0, tokens: 0};
		entry.calls++;
		entry.tokens += reservedTokens;
		this.outstanding.set(upstreamId, entry);
	}

	/** Forgets a call that has settled. */
	remove({programId, requestId}: CallName): void {
		const key = `${programId}:${requestId}`;
		const open = this.#open.get(key);
		const entry = open && this.outstanding.get(open.upstreamId);
		if (open && entry) {
			entry.calls--;
			entry.tokens -= open.tokens;
			this.#open.delete(key);
		}
	}
}
