#!/usr/bin/env bash
# Mutation tests: removes one mechanism at a time from a scratch copy of the code
# and checks that the tests that cover it fail there.
#
#   scripts/mutations.sh [NAME ...]
#
# Without a name, all mutations run. The exit status is 0 if every mutation that ran
# makes its tests fail.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
survived=0
ran=0

# mutate NAME FILE 'PERL SUBSTITUTION' PACKAGE TEST
# TEST is the pattern of go test -run.
mutate() {
  local name=$1 file=$2 substitution=$3 package=$4 test=$5
  if [ "${#wanted[@]}" -gt 0 ] && [[ " ${wanted[*]} " != *" $name "* ]]; then return; fi
  ran=$((ran + 1))
  rm -rf "$copy/tree"
  mkdir "$copy/tree"
  git ls-files -co --exclude-standard | tar -cf - -T - 2>/dev/null | tar -xf - -C "$copy/tree"
  perl -0pi -e "$substitution" "$copy/tree/$file"
  if cmp -s "$file" "$copy/tree/$file"; then
    echo "$name: the substitution matches nothing in $file"
    survived=$((survived + 1))
    return
  fi
  if (cd "$copy/tree" && go vet "$package" && go test -count=1 "$package" -run "$test") >"$copy/log" 2>&1; then
    echo "$name: $test passes without the mechanism"
    survived=$((survived + 1))
  elif ! grep -qE -- '--- FAIL|panic: ' "$copy/log"; then
    echo "$name: no test failed, the mutated code does not pass go vet or does not build:"
    tail -5 "$copy/log"
    survived=$((survived + 1))
  else
    echo "$name: $test fails without the mechanism, as it must"
  fi
}

wanted=("$@")
mutate loan-term internal/limit/loan.go 's/now-loan\.started > limiter\.settings\.LoanTerm/false/; s/now-loan\.started <= limiter\.settings\.LoanTerm/true/; s/loan\.finished \|\| false/loan.finished/' ./internal/limit TestLoanIsNotSpentAfterItsTerm
mutate refund-bound internal/limit/bucket.go 's/min\(unused, receipt\.tokens, bucket\.headrooms\[index\]\.least\)/min(unused, receipt.tokens)/' ./internal/limit 'TestRefund'
mutate ask-once internal/limit/loan.go 's/if _, duplicate := state\.lent\[key\]; duplicate \{/if false {/' ./internal/limit TestDuplicateLoanRequestIsAnsweredOnce
mutate late-double internal/limit/loan.go 's/if _, duplicate := loan\.received\[from\]; duplicate \{/if false {/' ./internal/limit 'TestFleetStaysWithinBurstAndRateOverLossyLinks|TestDuplicateLoanGrant'
mutate freshness internal/fleet/freshness.go 's/return now < core\.FreshUntil\(\)/return true/' ./internal/fleet TestNodeCutOffFromEverythingStopsAdmitting
mutate majority internal/fleet/freshness.go 's/if core\.countAcknowledged\(set, row\) <= len\(set\)\/2 \{/if core.countAcknowledged(set, row) < 0 {/' ./internal/fleet TestPatchWithoutMajorityIsRolledBack
mutate half internal/fleet/freshness.go 's/half := \(len\(set\) \+ 1\) \/ 2/half := 1/' ./internal/fleet 'TestMinorityCutOff|TestNodeCutOff'
mutate spread internal/fleet/patch.go 's/if settled \|\| core\.allAcknowledged\(active\.row\) \{/if settled || true {/' ./internal/fleet 'TestPatchSettlesOnlyWhenInForceEverywhere|TestSoak'
mutate lease-end internal/fleet/lease.go 's/ && now < core\.lease\.until && core\.isMember\(\)//' ./internal/fleet 'TestPausedNode|TestSoak'
mutate head-row internal/fleet/patch.go 's/core\.learnHead\(row\+1, value\)/core.learnHead(active.row+1, value)/' ./internal/fleet 'TestLateCommitAnswerKeepsHeadVersion|TestSoak'
mutate row-conditions internal/placement/decision.go 's/builder\.transaction\.Conditions = append\(builder\.transaction\.Conditions, mimosatide\.Condition\{Key: key, Version: version\}\)/builder.transaction.Conditions = append(builder.transaction.Conditions, mimosatide.Condition{Key: "none"}); _ = version/' ./internal/placement 'TestLostCommitAnswers|TestHomeNodeCrash|TestSoak'
mutate harmless internal/placement/orders.go 's/if state\.inFlight > 0 \|\| mayArrive \{/if false \&\& mayArrive {/; s/return now-since >= maxOrderDelay/return now >= since/' ./internal/placement 'TestLateOrderOfEndedProcess|TestSoak'
mutate renumber internal/placement/decision.go 's/\t\trenumber,\n//' ./internal/placement TestThirtyModelsStayWithinStoreBudget
mutate store-budget internal/placement/load.go 's/situation\.Store\.Models\(\) >= situation\.Budget\.LoadSlots/false/; s/!situation\.Turn \|\| false/false/' ./internal/placement TestThirtyModelsStayWithinStoreBudget
mutate run-once internal/dispatch/run_route.go 's/if answer\.Failure != mimosatide\.CallNotSent \{\n\t\t\treturn refused/if false {\n\t\t\treturn refused/' ./internal/dispatch TestNonIdempotentCallIsNeverSentTwice
mutate claim internal/dispatch/claim.go 's/if found\.nonce == mine\.nonce \{/if true {/' ./internal/dispatch TestSameIdempotencyKeyRunsOnce
mutate recheck internal/dispatch/run_model.go 's/if reason := service\.gate\.Admit\(request\.Key, request\.Account\.Name\); reason != "" \{/if reason := service.gate.Admit(request.Key, request.Account.Name); reason == "never" {/' ./internal/dispatch TestKeyWithdrawnWhileWaitingIsNotServed
mutate fair-queue internal/queue/queue.go 's/start := max\(queue\.virtualTime, flow\.lastFinish\)/start := float64(len(queue.accountByID))/' ./internal/dispatch TestFloodingAccountLeavesOthersTheirShare
mutate poison internal/dispatch/crash_tracker.go 's/return tracker\.Crashes\(now, digest\) >= MaxCrashes/return false/' ./internal/dispatch TestCrashesReportedByPeersStopRequest
mutate once-each-event internal/dispatch/run_model.go 's/if event\.Index > 0 && event\.Index <= run\.delivered \{/if false {/' ./internal/dispatch TestStreamIsResumedWithoutLossOrDuplicates
mutate wait-timer internal/dispatch/model_queue.go 's/request\.Arrived \+ request\.WaitLimit - service\.clock\.Now\(\)/time.Minute/' ./internal/dispatch TestEveryWaitingRequestIsAnsweredInTime
mutate health internal/dispatch/health.go 's/return found && now < state\.ejectedUntil/return found \&\& now < state.ejectedUntil \&\& false/' ./internal/dispatch TestRetriesKeepToTheirBudget
mutate key-in-body internal/caller/key.go 's/if slices\.Contains\(keyParameters, strings\.ToLower\(name\)\) \{/if slices.Contains(keyParameters, strings.ToLower(name)) \&\& false {/' ./internal/caller 'TestNoKeyReachesATarget'
mutate drain internal/dispatch/service.go 's/case service\.draining:/case false:/' ./internal/dispatch TestDrainingRefusesNewWorkOnly
mutate own-connections platform/order.go 's/unpooled\.DisableKeepAlives = true/unpooled.DisableKeepAlives = false/' ./platform TestRepeatedAnswerIsNotTaken
mutate engine-connections internal/target/client.go 's/target\.unpooled\.Do\(ctx, request, response\)/target.pooled.Do(ctx, request, response)/' ./internal/target TestRepeated
mutate unnamed internal/target/client.go 's/if answered == "" && mayReuse \{/if false \&\& mayReuse {/' ./internal/target TestAnswerWithoutARequest
mutate call-once internal/target/client.go 's/newHTTPClient\(settings, false\)/newHTTPClient(settings, true)/' ./internal/target TestCallOverANewConnectionIsSentOnce
mutate may-have-run internal/dispatch/run_model.go 's/run\.mayHaveRun = run\.mayHaveRun \|\| /run.mayHaveRun = /' ./internal/dispatch TestRefusalAfterAnUnknownAttempt
mutate rounds internal/fleet/freshness.go 's/xxhash\.Sum64String\(nonce\) >> 32/xxhash.Sum64String(nonce) >> 63 >> 1/' ./internal/fleet TestReportToAnEarlierProcess
mutate permit-number internal/permit/desk.go 's/number: rand\.Uint64\(\)/number: rand.Uint64N(1)/' ./internal/permit TestAnswerToAnEarlierProcess
mutate stop-connection internal/ingress/server.go 's/!opened\.begin\(\)/opened == nil/' ./internal/ingress TestRequestThatIsReadWhileIdleConnectionsCloseIsNotCut
mutate stop-stall internal/shutdown/schedule.go 's/schedule\.earliest = schedule\.stallBegan/_ = schedule.stallBegan/' ./internal/shutdown TestRequestsAreNotTakenForTheTimeThatASignalWaited
mutate stop-unsent internal/gateway/serve.go 's/handler\.possibleRuns == 0 && handler\.endsTooSoon\(\)/false/' ./internal/gateway TestTakeUpThatIsNotSentWhenItsNodeDrainsIsNotRun
mutate incarnation internal/gateway/resume.go 's/!report\.Born\.Equal\(instance\.Born\)/false/' ./internal/gateway TestStreamIsNotContinuedByAnotherIncarnation
mutate origin-restored internal/origin/origin.go 's/!tracker\.restoredAt\.IsZero\(\) && /false \&\& /' ./internal/origin TestRestoredRowIsNotTakenForTheOnlyVersion
mutate origin-named internal/origin/origin.go 's/\tif state\.read \{/\tif false {/; s/return len\(state\.everNamed\) == 0 \|\| .*/return true/' ./internal/origin TestStreamDoesNotBeginAtTheOnlyVersionLeftBeforeItIsNamed
mutate unclean-end internal/framing/conn.go 's/if failure != nil \{/if failure != nil \&\& false {/; s/if !Acknowledged\(connection\) \{/if false {/' ./internal/exchange TestAnswerWithoutLengthIsBroken
mutate odd-status internal/framing/status.go 's/return status >= http\.StatusContinue && status < statusLimit/return status >= 0 \&\& status < 10*statusLimit/; s/ \|\| digits == 1 && \(status < 1 \|\| status > 5\)//' ./internal/exchange TestOddStatusIsAProtocolError
mutate unclean-order internal/framing/conn.go 's/if failure != nil \{/if failure != nil \&\& false {/; s/if !Acknowledged\(connection\) \{/if false {/; s/if !upload\.written \{/if false {/' ./platform 'TestBrokenAnswerDecidesNo'
mutate unclean-hertz internal/framing/hertzconn/conn.go 's/case conn\.readErr != io\.EOF:/case conn.readErr == io.ErrNoProgress:/' ./internal/target TestBrokenAnswer
echo "$((ran - survived)) passed, $survived failed"
[ "$survived" -eq 0 ]
