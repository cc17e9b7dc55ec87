08:45:56.635 edge-sk-north-a-1 try again account=hude190 cause=unreachable id=64e46d38436dccd4 left=3933 ms=423 route=r-bedziip server=i-b8773f3ec8 waited=122
    known for 9.418s: configuration in force accounts=8 routes=16 version=38
    known for 845ms: coordinator changed before=edge-sk-north-b-3 held=0 service=bara48b
    known for 302ms: coordinator changed before=edge-sk-north-c-1 held=1 service=lezi52a
    known for 26.472s: server address=10.2.64.25:8325 leaving=false server=i-b8773f3ec8 service=lezi52a
    known for 44.624s: start domain=sk-north-a front=10.1.0.32:8328
    known for 12.537s: store regained outage=215 table=jobs
    known for 9.418s: store regained outage=7803 table=op
    known for 260ms: store lost error=follow servers: platform unavailable: call the store: fasthttp: timeout position=197 table=servers
    known for 171ms: store lost error=follow vms: platform unavailable: call the store: fasthttp: timeout position=207 table=vms
08:45:56.635 edge-sk-north-a-1 refused account=hude190 after=334 cause=overload id=64e46d38436dccd4 left=3932 ms=424 route=r-bedziip server=i-b8773f3ec8 status=503 waited=423
